"""Polls the local agent for the state of the host."""

import asyncio
from collections.abc import Callable

from result import Err, Result

from egretmill import events
from egretmill.document import Environment
from egretmill.errors import Failure
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.wire import Peer, messages

__all__ = ('AgentLink', 'newer_environment')

# An answer is a message over loopback; an agent that takes longer is
# treated as lost until the next poll.
POLL_TIMEOUT_S = 0.5


class AgentLink:
    """Keeps a program up to date with its agent.

    The program goes on with the last state while the agent is lost.
    """

    def __init__(
        self,
        peer: Peer,
        interval_s: float,
        metrics: Metrics,
        make_pull: Callable[[], messages.PullState],
        apply_state: Callable[[messages.HostState], None],
    ) -> None:
        """Poll a peer at an interval.

        :param make_pull: returns what the program reports of itself.
        :param apply_state: takes each new state of the host.
        """
        self.peer = peer
        self.interval_s = interval_s
        self.metrics = metrics
        self.make_pull = make_pull
        self.apply_state = apply_state
        self.connected = True

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self.interval_s)

    async def poll(self) -> None:
        """Report and fetch the state once."""
        answer = await self.peer.call(self.make_pull(), POLL_TIMEOUT_S)
        state = answer.unwrap_or(None)
        self.note(answer)
        if isinstance(state, messages.HostState):
            self.apply_state(state)

    def note(self, answer: Result[messages.Message, Failure]) -> None:
        """Log when the agent is lost and when it is back."""
        lost = isinstance(answer, Err)
        if lost != self.connected:
            return
        self.connected = not lost
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
