"""Exchanges heartbeats with the agents of all other hosts."""

import asyncio

from result import Ok

from egretmill.agent.links import PeerLinks
from egretmill.agent.state import AgentState
from egretmill.wire import messages

__all__ = ('Heartbeats',)

TICK_S = 0.1
# Below the heartbeat interval, so that one silent connection costs one
# heartbeat; well above the 20 ms between regions.
HEARTBEAT_TIMEOUT_S = 0.4


class Heartbeats:
    """Sends heartbeats when they are due and takes those of others."""

    def __init__(self, state: AgentState, links: PeerLinks) -> None:
        """Exchange the state of this host over links."""
        self.state = state
        self.links = links
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Send what is due and note what became overdue."""
        now = self.state.now()
        for name in self.state.peers.schedule_heartbeats(now):
            task = asyncio.create_task(self.beat(name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.state.log_changes(self.state.peers.check_timeouts(now))
        self.state.confirmation.apply_outage_rule(
            self.state.peers.states(now),
            self.state.share_slots,
            now,
        )

    async def beat(self, name: str) -> None:
        """Exchange one heartbeat with a host."""
        host = self.state.peers.host_record(name)
        if host is None:
            return
        sent_at = self.state.now()
        answer = await self.links.to(host).call(
            self.state.heartbeat(),
            HEARTBEAT_TIMEOUT_S,
        )
        now = self.state.now()
        match answer:
            case Ok(messages.Heartbeat() as heard):
                self.take(heard, sent_at, name)
            case _:
                self.state.metrics.count('membership.missed')
                self.state.log_changes(
                    self.state.peers.record_missed_heartbeat(name, now)
                )

    def take(
        self,
        heard: messages.Heartbeat,
        sent_at: float | None,
        asked: str | None,
    ) -> None:
        """Take over a heartbeat, an answer or a request."""
        now = self.state.now()
        changes = self.state.peers.receive_heartbeat(heard, sent_at, now, asked)
        self.state.log_changes(changes)
        self.state.confirmation.receive_heartbeat(heard, sent_at, now)
