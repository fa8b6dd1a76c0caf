"""What the steer program answers from; survives the loss of the agent."""

from result import Err

from egretmill import events
from egretmill.document import Environment
from egretmill.logs import log_event
from egretmill.lookup.answer import Directory
from egretmill.lookup.blocks import ClientBlocks
from egretmill.wire.messages import HostState, PeerState

__all__ = ('SteerState',)


class SteerState:
    """Newest document, hosts and client blocks that the agent sent."""

    def __init__(self) -> None:
        """Know nothing; look-ups are not ready."""
        self.environment: Environment | None = None
        self.peers: tuple[PeerState, ...] = ()
        self.directory: Directory | None = None
        self.blocks = ClientBlocks.empty()
        self.blocks_digest = ''
        self.wanted_digest = ''
        self.agent_lost = False
        self.leaving = False

    @property
    def version(self) -> int:
        """Return the version of the document in force, 0 for none."""
        return self.environment.version if self.environment else 0

    def apply(self, state: HostState) -> None:
        """Take over an answer of the agent.

        A document that is damaged or older than the one in force is
        refused; the hosts are taken over in any case.
        """
        changed = self.apply_document(state)
        self.wanted_digest = state.blocks_digest
        if self.environment is None:
            return
        if changed or state.peers != self.peers:
            self.peers = state.peers
            self.rebuild(self.environment)

    def apply_document(self, state: HostState) -> bool:
        """Put a newer document in force; return whether there is one."""
        if not state.document or state.version == self.version:
            return False
        if state.version < self.version:
            self.reject(state, f'older than {self.version}')
            return False
        decoded = Environment.from_bytes(
            state.document,
            'document',
            state.version,
        )
        if isinstance(decoded, Err):
            self.reject(state, str(decoded.err_value[0]))
            return False
        self.environment = decoded.ok_value
        log_event(
            events.CATALOGUE.CONFIGURATION_APPLIED,
            version=state.version,
            digest=self.environment.digest,
        )
        return True

    def reject(self, state: HostState, reason: str) -> None:
        """Log a document that is not put in force."""
        log_event(
            events.CATALOGUE.CONFIGURATION_REJECTED,
            version=state.version,
            reason=reason,
        )

    def rebuild(self, environment: Environment) -> None:
        """Place callers anew if the hosts to be named have changed."""
        current = self.directory
        if current and current.fits(environment, self.peers):
            return
        built = Directory.from_state(environment, self.peers, current)
        if isinstance(built, Err):
            return
        self.directory = built.ok_value
