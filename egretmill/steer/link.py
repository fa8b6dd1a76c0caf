"""The steer program's loops: state of the host and client blocks."""

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

# Pause after a failed fetch of blocks, which the agent may not have yet.
BLOCKS_RETRY_S = 1.0


class SteerLink:
    """Polls the agent and keeps the state up to date."""

    def __init__(
        self,
        settings: HostSettings,
        state: SteerState,
        incarnation: int,
        metrics: Metrics,
    ) -> None:
        """Use the agent at the address of the settings."""
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
            self.apply,
        )
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Poll in background tasks of the running loop."""
        self.tasks = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self.fetch_forever()),
        ]

    async def close(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peer.close()

    def make_pull(self) -> PullState:
        """Return what the agent is told about this program."""
        self.state.agent_lost = not self.agent.is_connected
        return PullState(
            'steer',
            self.incarnation,
            self.state.version,
            ready=self.state.directory is not None,
            leaving=self.state.leaving,
        )

    def apply(self, state: HostState) -> None:
        """Take over an answer of the agent."""
        self.state.agent_lost = False
        self.state.apply(state)

    async def fetch_forever(self) -> None:
        """Fetch client blocks whenever the agent names another digest."""
        while True:
            wanted = self.state.wanted_digest
            pause_s = self.poll_s
            if wanted and wanted != self.state.blocks_digest:
                fetched = await BlocksFetch(self.peer, self.state).run(wanted)
                if isinstance(fetched, Err):
                    pause_s = BLOCKS_RETRY_S
                    self.metrics.count('blocks.fetch_failed')
                    log_event(
                        events.CATALOGUE.CONFIGURATION_REJECTED,
                        blocks=wanted,
                        reason=fetched.err_value.detail,
                    )
            await asyncio.sleep(pause_s)
