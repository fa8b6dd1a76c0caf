"""Polls the local agent for the state of the host."""

import asyncio
from collections.abc import Callable

from result import Err, Result

from egretmill import events
from egretmill.document import Environment
from egretmill.errors import Failure
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.wire import PeerClient, messages

__all__ = ('AgentLink', 'newer_environment')

# The agent answers over loopback. One that takes longer counts as lost
# until the next poll.
POLL_TIMEOUT_S = 0.5


class AgentLink:
    """Polls the local agent and passes its state on to a program.

    While the agent does not answer, the program keeps the last state.
    """

    def __init__(
        self,
        peer: PeerClient,
        interval_s: float,
        metrics: Metrics,
        make_pull: Callable[[], messages.PullState],
        apply_state: Callable[[messages.HostState], None],
    ) -> None:
        """Poll the agent behind a peer at an interval.

        :param make_pull: returns the program's report about itself.
        :param apply_state: called with each state of the host.
        """
        self.peer = peer
        self.interval_s = interval_s
        self.metrics = metrics
        self.make_pull = make_pull
        self.apply_state = apply_state
        self.is_connected = True

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self.interval_s)

    async def poll(self) -> None:
        """Report and fetch the state once."""
        answer = await self.peer.call(self.make_pull(), POLL_TIMEOUT_S)
        state = answer.unwrap_or(None)
        self.track_connection(answer)
        if isinstance(state, messages.HostState):
            self.apply_state(state)

    def track_connection(
        self, answer: Result[messages.Message, Failure]
    ) -> None:
        """Log when the agent stops answering and when it answers again."""
        lost = isinstance(answer, Err)
        if lost != self.is_connected:
            return
        self.is_connected = not lost
        self.metrics.gauge('agent_lost', int(lost))
        if isinstance(answer, Err):
            reason = answer.err_value.detail
            log_event(events.CATALOGUE.AGENT_LOST, reason=reason)
        else:
            log_event(events.CATALOGUE.AGENT_BACK)


def newer_environment(
    state: messages.HostState,
    version: int,
    metrics: Metrics,
) -> Environment | None:
    """Return the document of a state if it is newer than a version.

    A damaged document is counted, logged and ignored.
    """
    if not state.document or state.version <= version:
        return None
    loaded = Environment.from_bytes(
        state.document,
        f'version {state.version}',
        state.version,
    )
    if isinstance(loaded, Err):
        metrics.count('configuration.rejected')
        log_event(
            events.CATALOGUE.CONFIGURATION_REJECTED,
            version=state.version,
            reason=str(loaded.err_value[0]),
        )
        return None
    environment = loaded.ok_value
    log_event(
        events.CATALOGUE.CONFIGURATION_APPLIED,
        version=environment.version,
        digest=environment.digest,
    )
    return environment
