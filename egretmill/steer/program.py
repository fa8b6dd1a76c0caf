"""Lifecycle of the steer program: listen, serve, drain, stop."""

import asyncio
import sys
import time


from egretmill import events
from egretmill.bounded_server import BoundedServer, ServerLimits
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
LIMITS = ServerLimits(
    connections=1024, header_bytes=65536, body_bytes=4096, body_s=5.0
)


async def serve(settings: HostSettings, signals: StopSignals) -> int:
    """Answer look-ups until a stop signal and return the exit status."""
    metrics = Metrics.from_settings(settings.metrics, 'steer')
    state = SteerState(metrics)
    server = BoundedServer(make_application(state, metrics), LIMITS)
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


async def drain(server: BoundedServer, settings: HostSettings) -> None:
    """Keep answering for the drain period, then close all connections."""
    await asyncio.sleep(settings.timing.drain_s)
    server.stop()
    await server.close_all_connections()
