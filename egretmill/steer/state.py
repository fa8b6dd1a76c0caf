"""State from which look-ups are answered; kept while the agent is lost."""

from result import Err

from egretmill.document import Environment
from egretmill.host_link import newer_environment
from egretmill.lookup.answer import Directory
from egretmill.lookup.blocks import ClientBlocks
from egretmill.metrics import Metrics
from egretmill.wire.messages import HostState, PeerState

__all__ = ('SteerState',)


class SteerState:
    """The latest document, hosts and client blocks from the agent."""

    def __init__(self, metrics: Metrics) -> None:
        """Start empty; look-ups fail until the agent sent a state."""
        self.metrics = metrics
        self.environment: Environment | None = None
        self.peers: tuple[PeerState, ...] = ()
        self.directory: Directory | None = None
        self.blocks = ClientBlocks.empty()
        self.blocks_digest = ''
        self.target_digest = ''
        self.agent_lost = False
        self.leaving = False

    @property
    def version(self) -> int:
        """Return the version of the document in force, 0 for none."""
        return self.environment.version if self.environment else 0

    def apply_state(self, state: HostState) -> None:
        """Apply a state that the agent sent.

        A document that is damaged or older than the one in force is
        ignored; the hosts are applied in any case.
        """
        newer = newer_environment(state, self.version, self.metrics)
        self.environment = newer or self.environment
        self.target_digest = state.blocks_digest
        if self.environment is None:
            return
        if newer or state.peers != self.peers:
            self.peers = state.peers
            self.rebuild_directory(self.environment)

    def rebuild_directory(self, environment: Environment) -> None:
        """Rebuild the directory if the document or usable hosts changed.

        Without any host, the last directory stays in use.
        """
        current = self.directory
        if current and current.is_current_for(environment, self.peers):
            return
        built = Directory.from_state(environment, self.peers, current)
        if isinstance(built, Err):
            return
        self.directory = built.ok_value
