"""Learns new versions of the document from the platform and from peers."""

import asyncio

from result import Err, Ok, Result

from egretmill import events
from egretmill.agent.links import PeerLinks
from egretmill.agent.state import AgentState
from egretmill.document import Environment, body_digest
from egretmill.document.promotion import CurrentVersion, Promoter
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.wire import messages

__all__ = ('ConfigurationWatch',)

FETCH_TIMEOUT_S = 2.0
PEER_INTERVAL_S = 0.1


class ConfigurationWatch:
    """Keeps the newest known version in force on this host."""

    def __init__(
        self,
        state: AgentState,
        promoter: Promoter,
        links: PeerLinks,
    ) -> None:
        """Watch through a promoter and the links to peers."""
        self.state = state
        self.promoter = promoter
        self.links = links
        self.reachable = True

    async def run_platform(self) -> None:
        """Poll the platform's version row until cancelled."""
        while True:
            await self.poll_platform()
            await asyncio.sleep(self.state.settings.timing.platform_poll_s)

    async def run_peers(self) -> None:
        """Fetch what peers announced and the platform did not give."""
        while True:
            confirmation = self.state.confirmation
            if confirmation.newest_version > confirmation.applied_version:
                await self.fetch_from_peers(confirmation.newest_version)
            await asyncio.sleep(PEER_INTERVAL_S)

    async def poll_platform(self) -> None:
        """Read the version row once and follow it."""
        sent_at = self.state.now()
        read = await self.promoter.fetch_current()
        self.note_reachable(read)
        match read:
            case Ok(CurrentVersion() as current):
                self.state.confirmation.record_platform_read(
                    current.version,
                    sent_at,
                    self.state.now(),
                )
                if current.version > self.state.version:
                    await self.fetch_from_platform(current)
            case Ok():
                self.state.confirmation.record_platform_answer(self.state.now())

    async def fetch_from_platform(self, current: CurrentVersion) -> None:
        """Fetch and apply the document of a version."""
        fetched = await self.promoter.fetch_document(current)
        if isinstance(fetched, Err):
            self.reject(current.version, fetched.err_value.detail)
            return
        self.state.apply(fetched.ok_value)

    async def fetch_from_peers(self, version: int) -> None:
        """Ask reachable peers that have a version for its document."""
        for peer in self.state.peers.states(self.state.now()):
            if not peer.reachable or peer.version < version:
                continue
            if peer.host.name == self.state.settings.name:
                continue
            link = self.links.to(peer.host)
            question = messages.FetchDocument(version)
            answer = await link.call(question, FETCH_TIMEOUT_S)
            if self.accept(answer):
                return

    def accept(self, answer: Result[messages.Message, Failure]) -> bool:
        """Check and apply a document that a peer sent."""
        if isinstance(answer, Err):
            return False
        found = answer.ok_value
        if not isinstance(found, messages.DocumentBody):
            return False
        return self.accept_body(found.version, found.digest, found.body)

    def accept_body(self, version: int, digest: str, body: bytes) -> bool:
        """Apply a document whose digest is right and which is valid."""
        if body_digest(body) != digest:
            self.reject(version, 'wrong digest')
            return False
        loaded = Environment.from_bytes(body, f'version {version}', version)
        if isinstance(loaded, Err):
            self.reject(version, str(loaded.err_value[0]))
            return False
        self.state.apply(loaded.ok_value)
        return True

    def reject(self, version: int, reason: str) -> None:
        """Write that a version could not be put in force."""
        self.state.metrics.count('configuration.rejected')
        log_event(
            events.CATALOGUE.CONFIGURATION_REJECTED,
            version=version,
            reason=reason,
        )

    def note_reachable(self, read: Result[object, Failure]) -> None:
        """Log when the platform is lost and when it is back."""
        reachable = isinstance(read, Ok)
        if reachable and not self.reachable:
            log_event(events.CATALOGUE.PLATFORM_BACK)
        if self.reachable and isinstance(read, Err):
            self.state.metrics.count('platform.lost')
            log_event(
                events.CATALOGUE.PLATFORM_LOST,
                reason=read.err_value.detail,
            )
        self.reachable = reachable

    def document(self) -> Result[messages.DocumentBody, Failure]:
        """Return the document in force for a peer."""
        environment = self.state.environment
        if environment is None:
            return Err(Failure(ErrorKind.NOT_READY, 'no version yet'))
        return Ok(
            messages.DocumentBody(
                environment.version,
                environment.digest,
                environment.body,
            ),
        )
