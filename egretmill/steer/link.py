"""Background tasks of the steer program: poll the agent, fetch blocks."""

import asyncio

from result import Err

from egretmill import events
from egretmill.host_link import AgentLink
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.settings import HostSettings
from egretmill.steer.blocks import BlocksFetch
from egretmill.steer.state import SteerState
from egretmill.wire import PeerClient
from egretmill.wire.messages import HostState, PullState

__all__ = ('SteerLink',)

# Delay after a failed fetch of blocks, which the agent may not have yet.
BLOCKS_RETRY_S = 1.0


class SteerLink:
    """Keeps the state up to date by polling the agent."""

    def __init__(
        self,
        settings: HostSettings,
        state: SteerState,
        incarnation: int,
        metrics: Metrics,
    ) -> None:
        """Prepare to connect to the agent of this host."""
        self.state = state
        self.incarnation = incarnation
        self.metrics = metrics
        self.poll_s = settings.timing.agent_poll_s
        self.peer = PeerClient(settings.address, settings.ports.agent)
        self.agent = AgentLink(
            self.peer,
            self.poll_s,
            metrics,
            self.make_pull,
            self.apply_state,
        )
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Poll in background tasks of the running loop."""
        self.tasks = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self.run_fetches()),
        ]

    async def close(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peer.close()

    def make_pull(self) -> PullState:
        """Return the next poll message, which reports this program's state."""
        self.state.agent_lost = not self.agent.is_connected
        return PullState(
            'steer',
            self.incarnation,
            self.state.version,
            ready=self.state.directory is not None,
            leaving=self.state.leaving,
        )

    def apply_state(self, state: HostState) -> None:
        """Apply an answer of the agent."""
        self.state.agent_lost = False
        self.state.apply_state(state)

    async def run_fetches(self) -> None:
        """Fetch client blocks whenever the agent announces a new digest."""
        while True:
            target = self.state.target_digest
            pause_s = self.poll_s
            if target and target != self.state.blocks_digest:
                fetched = await BlocksFetch(self.peer, self.state).run(target)
                if isinstance(fetched, Err):
                    pause_s = BLOCKS_RETRY_S
                    self.metrics.count('blocks.fetch_failed')
                    log_event(
                        events.CATALOGUE.CONFIGURATION_REJECTED,
                        blocks=target,
                        reason=fetched.err_value.detail,
                    )
            await asyncio.sleep(pause_s)
