"""Starts, runs and stops the agent."""

import asyncio
import time
from collections.abc import Sequence

from result import Err, Ok, Result
from tornado.httpserver import HTTPServer

from egretmill import events
from egretmill.agent.blocks import BlocksServer
from egretmill.agent.configuration import ConfigurationWatch
from egretmill.agent.heartbeats import Heartbeats
from egretmill.agent.links import PeerLinks
from egretmill.agent.operations import serve_operations
from egretmill.agent.platform_watch import PlatformWatch
from egretmill.agent.promotions import TrackedPromoter
from egretmill.agent.state import AgentState
from egretmill.document import Environment
from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.service import ClaimService
from egretmill.logs import log_event
from egretmill.membership.incarnation import next_incarnation
from egretmill.membership.slot_lease import retire_host
from egretmill.metrics import Metrics
from egretmill.programs import EXIT_OK, StopSignals
from egretmill.settings import HostSettings
from egretmill.store import StoreClient
from egretmill.wire import PeerClient, Server, messages

__all__ = ('Agent', 'serve')

EXPLAIN_TIMEOUT_S = 1.0
STOP_POLL_S = 0.05


class Agent:
    """Connects the components of the agent and starts and stops them."""

    def __init__(self, settings: HostSettings) -> None:
        """Create the components; nothing listens yet."""
        self.settings = settings
        self.metrics = Metrics.from_settings(settings.metrics, 'agent')
        self.state = AgentState(
            settings,
            next_incarnation(time.time()),
            self.metrics,
        )
        self.store = StoreClient.from_settings(
            settings.platform,
            settings.address,
        )
        self.links = PeerLinks()
        self.promoter = TrackedPromoter(
            self.store,
            self.state,
            self.can_promote,
        )
        self.configuration = ConfigurationWatch(
            self.state,
            self.promoter,
            self.links,
        )
        self.heartbeats = Heartbeats(self.state, self.links)
        self.blocks = BlocksServer(self.state, self.store)
        self.platform = PlatformWatch(self.state, self.store)
        self.claims = ClaimService(
            self.store,
            settings.name,
            self.state.incarnation,
            self.state.is_live,
            self.state.now,
        )
        self.entry_link = PeerClient(
            settings.address, settings.ports.entry_peer
        )
        self.server: Server | None = None
        self.operations: HTTPServer | None = None
        self.loops: list[asyncio.Task[None]] = []

    @property
    def host(self) -> str:
        """Return the name of this host."""
        return self.settings.name

    @property
    def environment(self) -> Environment | None:
        """Return the document in force here."""
        return self.state.environment

    def peers(self) -> Sequence[messages.PeerState]:
        """Return all known entry hosts, this one included."""
        return self.state.peer_states()

    def can_promote(self) -> bool:
        """Return whether peers would notice a promotion through this host.

        They do if it holds a share slot. The first document is promoted
        before any share slot exists.
        """
        return self.environment is None or self.state.usable_slot() is not None

    async def explain(
        self,
        request: messages.Explain,
    ) -> Result[messages.Explained, Failure]:
        """Ask the local entry program how it would decide a request."""
        return await self.entry_link.call(request, EXPLAIN_TIMEOUT_S)

    async def retire(self, host: str) -> Result[None, Failure]:
        """Free the share slots of a host that will not come back."""
        environment = self.state.environment
        if environment is None:
            return Err(Failure(ErrorKind.NOT_READY, 'no version yet'))
        freed = 0
        for domain in environment.failure_domains:
            retired = await retire_host(self.store, domain, host)
            if isinstance(retired, Err):
                return retired
            freed += retired.ok_value
        if not freed:
            return Err(Failure(ErrorKind.NOT_FOUND, f'{host} holds no slot'))
        return Ok(None)

    def start(self) -> None:
        """Listen and start the loops."""
        ports = self.settings.ports
        address = self.settings.address
        self.server = Server(address, ports.agent, self.handle, self.metrics)
        self.server.start()
        self.operations = serve_operations(self, self.settings)
        self.loops = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self.configuration.run_platform(),
                self.configuration.run_peers(),
                self.heartbeats.run(),
                self.platform.run_host_list(),
                self.platform.run_slot_lease(),
                self.platform.run_slot_rows(),
            )
        ]
        log_event(
            events.CATALOGUE.STARTED,
            program='agent',
            host=self.settings.name,
            address=f'{address}:{ports.agent}',
            incarnation=self.state.incarnation,
        )

    async def handle(
        self,
        message: messages.Message,
    ) -> Result[messages.Message, Failure]:
        """Answer a message of a local program or of another agent."""
        match message:
            case messages.PullState():
                return Ok(self.handle_pull(message))
            case messages.Heartbeat():
                self.heartbeats.receive_heartbeat(message, None, None)
                return Ok(self.state.heartbeat())
            case messages.Claim():
                return Ok(await self.claims.claim(message))
            case messages.RecordAnswer():
                return await self.claims.record(message)
            case messages.FetchBlocks():
                return await self.blocks.read_part(message)
            case messages.FetchHosts():
                return self.state.known_hosts()
            case messages.FetchDocument():
                return self.configuration.current_document()
        kind = type(message).__name__
        return Err(Failure(ErrorKind.BAD_REQUEST, f'unexpected {kind}'))

    def handle_pull(self, report: messages.PullState) -> messages.HostState:
        """Record the report of a local program and return the state."""
        program = self.state.steer
        if report.program == 'entry':
            program = self.state.entry
            if program.incarnation not in {0, report.incarnation}:
                # The previous entry program has ended and cannot report the
                # outcomes of the requests for which it held claims.
                self.claims.handle_entry_exit(report.incarnation)
        program.incarnation = report.incarnation
        program.ready = report.ready
        program.leaving = report.leaving
        program.seen_at = self.state.now()
        self.blocks.evict_unused()
        return self.state.host_state(report)

    async def stop(self) -> None:
        """Wait for the entry program to end, then release the slot."""
        self.state.leaving = True
        log_event(events.CATALOGUE.STOPPING, program='agent')
        while self.state.entry.has_recent_report(self.state.now()):
            await asyncio.sleep(STOP_POLL_S)
        if self.state.slot_manager is not None:
            await self.state.slot_manager.release()

    async def close(self) -> None:
        """Cancel the loops and close all servers and connections."""
        for loop in self.loops:
            loop.cancel()
        await self.claims.close()
        self.operations.stop()
        self.server.close()
        self.links.close()
        self.entry_link.close()


async def serve(settings: HostSettings, signals: StopSignals) -> int:
    """Run the agent until its shutdown ends."""
    agent = Agent(settings)
    agent.start()
    await signals.requested.wait()
    limit_s = settings.timing.shutdown_limit_s
    complete = await signals.run_shutdown(agent.stop(), limit_s)
    await agent.close()
    log_event(events.CATALOGUE.STOPPED, program='agent', complete=complete)
    return EXIT_OK
