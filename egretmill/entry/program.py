"""Starts, runs and stops the entry program."""

import asyncio
import time

from result import Err, Ok, Result
from tornado import web
from tornado.httpserver import HTTPServer

from egretmill import events
from egretmill.entry.explanation import explain
from egretmill.entry.handler import ProxyHandler, TicketHandler
from egretmill.entry.loans import LoanExchange
from egretmill.entry.probes import LoadProbe
from egretmill.entry.service import EntryService
from egretmill.entry.state import EntryState
from egretmill.errors import ErrorKind, Failure
from egretmill.host_link import AgentLink
from egretmill.bounded_server import BoundedServer, ServerLimits
from egretmill.listening import listen
from egretmill.logs import log_event
from egretmill.membership.incarnation import next_incarnation
from egretmill.metrics import Metrics
from egretmill.programs import EXIT_OK, StopSignals
from egretmill.settings import HostSettings
from egretmill.wire import PeerClient, Server, messages

__all__ = ('EntryProgram', 'serve')

#: The size of a head is above the 16 KiB limit for callers, so that most
#: oversized heads still get an answer instead of a closed connection. Bodies
#: are limited by their route, and their time by its time limit.
LIMITS = ServerLimits(
    connections=2048,
    header_bytes=65536,
    body_bytes=65536,
    body_s=None,
    idle_s=75.0,
)


class EntryProgram:
    """Starts and stops the components of the entry program."""

    def __init__(self, settings: HostSettings) -> None:
        """Build the components without listening."""
        self.settings = settings
        self.metrics = Metrics.from_settings(settings.metrics, 'entry')
        incarnation = next_incarnation(time.time())
        self.state = EntryState(settings, incarnation, self.metrics)
        self.agent = PeerClient(settings.address, settings.ports.agent)
        self.service = EntryService(self.state, self.agent)
        self.loans = LoanExchange(self.state)
        self.probe = LoadProbe(self.state)
        self.agent_link = AgentLink(
            self.agent,
            settings.timing.agent_poll_s,
            self.metrics,
            self.make_pull,
            self.state.apply,
        )
        self.background_tasks: list[asyncio.Task[None]] = []
        self.http: HTTPServer | None = None
        self.peer_server: Server | None = None

    def make_pull(self) -> messages.PullState:
        """Return the poll message that reports this program to its agent."""
        return messages.PullState(
            program='entry',
            incarnation=self.state.incarnation,
            known_version=self.state.version,
            ready=self.state.is_ready,
            leaving=self.state.leaving,
            known_upstreams=self.state.upstreams_digest,
        )

    def start(self) -> None:
        """Listen and start the background tasks."""
        ports = self.settings.ports
        address = self.settings.address
        self.peer_server = Server(
            address,
            ports.entry_peer,
            self.handle,
            self.metrics,
        )
        self.peer_server.start()
        self.http = BoundedServer(
            self.make_application(),
            LIMITS,
            self.service.caller_memory,
        )
        listen(self.http, ports.entry, address)
        self.background_tasks = [
            asyncio.create_task(self.agent_link.run()),
            asyncio.create_task(self.loans.run()),
            asyncio.create_task(self.probe.run()),
        ]
        log_event(
            events.CATALOGUE.STARTED,
            program='entry',
            host=self.settings.name,
            address=f'{address}:{ports.entry}',
            incarnation=self.state.incarnation,
        )

    def make_application(self) -> web.Application:
        """Return the tornado application for callers."""
        handler_options = {'service': self.service}
        return web.Application(
            [
                ('/v1/tickets', TicketHandler, handler_options),
                ('(/.*)', ProxyHandler, handler_options),
            ],
            default_handler_class=ProxyHandler,
            default_handler_args=handler_options,
            log_function=lambda handler: None,
        )

    async def handle(
        self,
        message: messages.Message,
    ) -> Result[messages.Message, Failure]:
        """Answer a message of a peer or of the local agent."""
        match message:
            case messages.Borrow():
                return self.loans.lend(message)
            case messages.Explain():
                return Ok(explain(self.state, message))
        kind = type(message).__name__
        return Err(Failure(ErrorKind.BAD_REQUEST, f'unexpected {kind}'))

    async def stop(self) -> None:
        """Shut down gracefully: no request is cut."""
        self.state.leaving = True
        log_event(events.CATALOGUE.STOPPING, program='entry')
        await asyncio.sleep(self.settings.timing.drain_s)
        self.http.stop()
        await self.service.wait_until_drained()
        # Connections still open are idle. A request that arrives on one now
        # would be cut.
        await self.http.close_all_connections()
        await self.loans.return_loans()

    async def close(self) -> None:
        """Cancel the background tasks and close all servers."""
        for task in self.background_tasks:
            task.cancel()
        self.http.stop()
        self.peer_server.close()
        self.agent.close()
        await self.http.close_all_connections()


async def serve(settings: HostSettings, signals: StopSignals) -> int:
    """Run the entry program until its shutdown ends."""
    program = EntryProgram(settings)
    program.start()
    await signals.requested.wait()
    limit_s = settings.timing.shutdown_limit_s
    complete = await signals.run_shutdown(program.stop(), limit_s)
    cut_requests = program.state.running_requests
    await program.close()
    log_event(
        events.CATALOGUE.STOPPED,
        program='entry',
        complete=complete,
        requests_cut=cut_requests,
    )
    return EXIT_OK
