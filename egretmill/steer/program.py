"""Lifecycle of the steer program: listen, serve, drain, stop."""

import asyncio
import sys
import time

from tornado.httpserver import HTTPServer

from egretmill import events
from egretmill.listening import listen
from egretmill.logs import log_event
from egretmill.membership.incarnation import next_incarnation
from egretmill.metrics import Metrics
from egretmill.programs import EXIT_FAILED, EXIT_OK, StopSignals
from egretmill.settings import HostSettings
from egretmill.steer.handlers import make_application
from egretmill.steer.link import SteerLink
from egretmill.steer.state import SteerState

__all__ = ('PROGRAM', 'serve')

PROGRAM = 'egretmill-steer'
MAX_READ_HEADER_BYTES = 65536
MAX_BODY_BYTES = 65536


async def serve(settings: HostSettings, signals: StopSignals) -> int:
    """Answer look-ups until a stop signal and return the exit status."""
    metrics = Metrics.from_settings(settings.metrics, 'steer')
    state = SteerState(metrics)
    server = HTTPServer(
        make_application(state, metrics),
        max_header_size=MAX_READ_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
    try:
        listen(server, settings.ports.steer, settings.address)
    except OSError as error:
        where = f'{settings.address}:{settings.ports.steer}'
        sys.stderr.write(f'{PROGRAM}: cannot listen on {where}: {error}\n')
        return EXIT_FAILED
    incarnation = next_incarnation(time.time())
    link = SteerLink(settings, state, incarnation, metrics)
    link.start()
    log_event(
        events.CATALOGUE.STARTED,
        host=settings.name,
        address=settings.address,
        port=settings.ports.steer,
        incarnation=incarnation,
    )
    await signals.requested.wait()
    log_event(events.CATALOGUE.STOPPING)
    state.leaving = True
    limit_s = settings.timing.shutdown_limit_s
    complete = await signals.run_shutdown(drain(server, settings), limit_s)
    await link.close()
    log_event(events.CATALOGUE.STOPPED, complete=complete)
    return EXIT_OK


async def drain(server: HTTPServer, settings: HostSettings) -> None:
    """Keep answering for the drain period, then close all connections."""
    await asyncio.sleep(settings.timing.drain_s)
    server.stop()
    await server.close_all_connections()
