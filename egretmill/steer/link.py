"""The steer program's link to the agent of its host."""

import asyncio

from result import Err, Ok, Result

from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.settings import HostSettings
from egretmill.steer.blocks import BlocksFetch
from egretmill.steer.state import SteerState
from egretmill.wire import Peer
from egretmill.wire.messages import HostState, PullState

__all__ = ('AgentLink',)

# The agent answers from memory on the same machine; a longer wait would
# only delay the notice that it is gone.
CALL_TIMEOUT_S = 0.5
# Pause after a failed fetch of blocks, which the agent may not have yet.
BLOCKS_RETRY_S = 1.0


class AgentLink:
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
        self.peer = Peer(settings.address, settings.ports.agent)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Poll in background tasks of the running loop."""
        self.tasks = [
            asyncio.create_task(self.poll_forever()),
            asyncio.create_task(self.fetch_forever()),
        ]

    async def close(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peer.close()

    async def poll_forever(self) -> None:
        """Ask the agent for the state at each interval."""
        while True:
            await self.poll()
            await asyncio.sleep(self.poll_s)

    async def poll(self) -> None:
        """Report this program and take over the state of the host."""
        pull = PullState(
            'steer',
            self.incarnation,
            self.state.version,
            ready=self.state.directory is not None,
            leaving=self.state.leaving,
        )
        answer = await self.peer.call(pull, CALL_TIMEOUT_S)
        match host_state(answer):
            case Ok(state):
                self.note_agent(lost=False)
                self.state.apply(state)
            case Err(failure):
                self.note_agent(lost=True, detail=str(failure.detail))

    def note_agent(self, *, lost: bool, detail: str = '') -> None:
        """Log when the agent stops or starts to answer."""
        if lost == self.state.agent_lost:
            return
        self.state.agent_lost = lost
        self.metrics.gauge('agent_lost', int(lost))
        if lost:
            log_event(events.CATALOGUE.AGENT_LOST, detail=detail)
        else:
            log_event(events.CATALOGUE.AGENT_BACK)

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


def host_state(
    answer: Result[object, Failure],
) -> Result[HostState, Failure]:
    """Check the type of an answer of the agent."""
    if isinstance(answer, Err):
        return answer
    if isinstance(answer.ok_value, HostState):
        return Ok(answer.ok_value)
    detail = f'unexpected {type(answer.ok_value).__name__}'
    return Err(Failure(ErrorKind.MALFORMED_FRAME, detail))
