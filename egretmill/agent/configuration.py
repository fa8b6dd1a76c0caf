"""Fetches new versions of the document from the platform and from peers."""

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
    """Keeps the newest version of the document in force on this host."""

    def __init__(
        self,
        state: AgentState,
        promoter: Promoter,
        links: PeerLinks,
    ) -> None:
        """Use a promoter for the platform and connections to peers."""
        self.state = state
        self.promoter = promoter
        self.links = links
        self.platform_reachable = True

    async def run_platform(self) -> None:
        """Poll the platform's version row until cancelled."""
        while True:
            await self.poll_platform()
            await asyncio.sleep(self.state.settings.timing.platform_poll_s)

    async def run_peers(self) -> None:
        """Fetch versions that peers announced and the platform did not give.

        Runs until cancelled.
        """
        while True:
            confirmation = self.state.confirmation
            if confirmation.newest_version > confirmation.applied_version:
                await self.fetch_from_peers(confirmation.newest_version)
            await asyncio.sleep(PEER_INTERVAL_S)

    async def poll_platform(self) -> None:
        """Read the version row once and apply a newer version."""
        sent_at = self.state.now()
        read = await self.promoter.fetch_current()
        self.log_reachability(read)
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
            self.log_rejection(current.version, fetched.err_value.detail)
            return
        self.state.apply_environment(fetched.ok_value)

    async def fetch_from_peers(self, version: int) -> None:
        """Request a document from reachable peers that have its version."""
        for peer in self.state.peers.states(self.state.now()):
            if not peer.reachable or peer.version < version:
                continue
            if peer.host.name == self.state.settings.name:
                continue
            link = self.links.link_to(peer.host)
            request = messages.FetchDocument(version)
            answer = await link.call(request, FETCH_TIMEOUT_S)
            if self.apply_peer_answer(answer):
                return

    def apply_peer_answer(
        self, answer: Result[messages.Message, Failure]
    ) -> bool:
        """Apply the document in a peer's answer; return whether it was valid.

        A version that is not newer than the one in force changes nothing.
        """
        if isinstance(answer, Err):
            return False
        body = answer.ok_value
        if not isinstance(body, messages.DocumentBody):
            return False
        return self.apply_peer_document(body.version, body.digest, body.body)

    def apply_peer_document(
        self, version: int, digest: str, body: bytes
    ) -> bool:
        """Apply a document if its digest and content are valid."""
        if body_digest(body) != digest:
            self.log_rejection(version, 'wrong digest')
            return False
        loaded = Environment.from_bytes(body, f'version {version}', version)
        if isinstance(loaded, Err):
            self.log_rejection(version, str(loaded.err_value[0]))
            return False
        self.state.apply_environment(loaded.ok_value)
        return True

    def log_rejection(self, version: int, reason: str) -> None:
        """Log and count a version that could not be put in force."""
        self.state.metrics.count('configuration.rejected')
        log_event(
            events.CATALOGUE.CONFIGURATION_REJECTED,
            version=version,
            reason=reason,
        )

    def log_reachability(self, read: Result[object, Failure]) -> None:
        """Log when the platform is lost and when it is back."""
        reachable = isinstance(read, Ok)
        if reachable and not self.platform_reachable:
            log_event(events.CATALOGUE.PLATFORM_BACK)
        if self.platform_reachable and isinstance(read, Err):
            self.state.metrics.count('platform.lost')
            log_event(
                events.CATALOGUE.PLATFORM_LOST,
                reason=read.err_value.detail,
            )
        self.platform_reachable = reachable

    def current_document(self) -> Result[messages.DocumentBody, Failure]:
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
