"""Structured logs: one line per event, as text or JSON."""

import logging
import sys
from collections.abc import Mapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from egretmill import events

__all__ = ('configure', 'log_event')

LOGGER = logging.getLogger('egretmill')


class EventTextFormatter(logging.Formatter):
    """Formats a line as ``time level number name key=value ...``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line for the record."""
        fields: Mapping[str, Any] = getattr(record, 'fields', {})
        pairs = ' '.join(f'{key}={fields[key]!s}' for key in fields)
        number = getattr(record, 'number', '-')
        timestamp = self.formatTime(record)
        head = f'{timestamp} {record.levelname} {number} {record.getMessage()}'
        return f'{head} {pairs}'.rstrip()


class EventJsonFormatter(JsonFormatter):
    """Formats a line as a JSON object with the event fields as members."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the members of the object."""
        log_data['time'] = self.formatTime(record)
        log_data['level'] = record.levelname
        log_data['number'] = getattr(record, 'number', None)
        log_data['event'] = record.getMessage()
        log_data.update(getattr(record, 'fields', {}))


def configure(
    level: str,
    output_format: str,
    handler: logging.Handler | None = None,
) -> None:
    """Configure the logs of the program, by default to standard error.

    :param level: a level name of :mod:`logging`.
    :param output_format: ``text`` or ``json``.
    :param handler: receives the lines instead of standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    if output_format == 'json':
        handler.setFormatter(EventJsonFormatter())
    else:
        handler.setFormatter(EventTextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    LOGGER.setLevel(level)


def log_event(event: events.Event, **fields: Any) -> None:
    """Write one line for an event of the catalogue."""
    if not LOGGER.isEnabledFor(event.level):
        return
    LOGGER.log(
        event.level,
        event.name,
        extra={'number': event.number, 'fields': fields},
    )
