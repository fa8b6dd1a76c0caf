"""Polls the local agent for the state of the host."""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from egretmill import events
from egretmill.logs import log_event
from egretmill.wire import Peer, messages

__all__ = ('AgentLink',)

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
        make_pull: Callable[[], messages.PullState],
        apply_state: Callable[[messages.HostState], None],
    ) -> None:
        """Poll a peer at an interval.

        :param make_pull: returns what the program reports of itself.
        :param apply_state: takes each new state of the host.
        """
        self.peer = peer
        self.interval_s = interval_s
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
        match answer:
            case Ok(messages.HostState() as state):
                self.note(connected=True)
                self.apply_state(state)
            case Err(failure):
                self.note(connected=False, reason=str(failure.detail))

    def note(self, *, connected: bool, reason: str = '') -> None:
        """Log when the agent is lost and when it is back."""
        if connected and not self.connected:
            log_event(events.CATALOGUE.AGENT_BACK)
        if self.connected and not connected:
            log_event(events.CATALOGUE.AGENT_LOST, reason=reason)
        self.connected = connected
