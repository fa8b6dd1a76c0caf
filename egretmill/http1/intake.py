"""Divides the processor time for parsing between the connections of callers."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

__all__ = ('Intake',)

#: Part of the processor time for further slices of the input ...
PARSE_SHARE = 0.5
#: ... and how much of it can be used at once, in seconds.
PARSE_BURST_S = 0.02
#: Time for waiting input in one iteration of the event loop, in seconds.
TURN_S = 0.01


class InputOwner(Protocol):
    """A connection with input that is not parsed yet."""

    loop: asyncio.AbstractEventLoop

    @property
    def can_parse(self) -> bool:
        """Return whether there is input, and room for its requests."""
        raise NotImplementedError

    def parse_slice(self) -> None:
        """Parse a small part of the input."""
        raise NotImplementedError

    def input_parsed(self) -> None:
        """Handle that no more input can be parsed now."""
        raise NotImplementedError


class Intake:
    """Parses the input of connections in slices.

    The first slice of what a connection has received is parsed at once; an
    ordinary request has no other. Further ones wait if they would take more
    than their share of the time, the connection with the fewest slices first.
    Thus, input that is expensive to parse holds up its own connection only.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        """Start without waiting input."""
        self.now = now
        self.allowance_s = PARSE_BURST_S
        self.refilled_at = now()
        #: Slices parsed so far, order of arrival and connection.
        self.waiting: list[tuple[int, int, InputOwner]] = []
        self.arrivals = itertools.count()

    def parse(self, connection: InputOwner) -> None:
        """Parse the input of a connection, or let a part of it wait."""
        connection.parse_slice()
        if connection.can_parse:
            self._parse_further(connection)
        else:
            connection.input_parsed()

    def _parse_further(self, connection: InputOwner) -> None:
        started_at = self.now()
        passed_s = started_at - self.refilled_at
        self.refilled_at = started_at
        self.allowance_s = min(
            self.allowance_s + passed_s * PARSE_SHARE, PARSE_BURST_S
        )
        slices = 1
        until = started_at + self.allowance_s
        while not self.waiting and connection.can_parse:
            if self.now() >= until:
                break
            connection.parse_slice()
            slices += 1
        self.allowance_s -= self.now() - started_at
        if connection.can_parse:
            self._add_waiting(slices, connection)
        else:
            connection.input_parsed()

    def _add_waiting(self, slices: int, connection: InputOwner) -> None:
        if not self.waiting:
            connection.loop.call_soon(self._parse_waiting)
        row = (slices, next(self.arrivals), connection)
        heapq.heappush(self.waiting, row)

    def _parse_waiting(self) -> None:
        """Parse waiting input for one turn."""
        until = self.now() + TURN_S
        try:
            while self.waiting and self.now() < until:
                self._parse_next()
        finally:
            if self.waiting:
                self.waiting[0][-1].loop.call_soon(self._parse_waiting)

    def _parse_next(self) -> None:
        """Parse a slice of the connection with the fewest."""
        slices, _, connection = heapq.heappop(self.waiting)
        if connection.can_parse:
            connection.parse_slice()
        if connection.can_parse:
            row = (slices + 1, next(self.arrivals), connection)
            heapq.heappush(self.waiting, row)
        else:
            connection.input_parsed()
