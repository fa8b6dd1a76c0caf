"""What the steer program answers from; survives the loss of the agent."""

from result import Err

from egretmill.document import Environment
from egretmill.host_link import newer_environment
from egretmill.lookup.answer import Directory
from egretmill.lookup.blocks import ClientBlocks
from egretmill.metrics import Metrics
from egretmill.wire.messages import HostState, PeerState

__all__ = ('SteerState',)


class SteerState:
    """Newest document, hosts and client blocks that the agent sent."""

    def __init__(self, metrics: Metrics) -> None:
        """Know nothing; look-ups are not ready."""
        self.metrics = metrics
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
        newer = newer_environment(state, self.version, self.metrics)
        self.environment = newer or self.environment
        self.wanted_digest = state.blocks_digest
        if self.environment is None:
            return
        if newer or state.peers != self.peers:
            self.peers = state.peers
            self.rebuild(self.environment)

    def rebuild(self, environment: Environment) -> None:
        """Place callers anew if the hosts to be named have changed."""
        current = self.directory
        if current and current.is_current_for(environment, self.peers):
            return
        built = Directory.from_state(environment, self.peers, current)
        if isinstance(built, Err):
            return
        self.directory = built.ok_value
