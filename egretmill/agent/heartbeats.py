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
    """Sends heartbeats when they are due and processes received ones."""

    def __init__(self, state: AgentState, links: PeerLinks) -> None:
        """Exchange the state of this host over connections to peers."""
        self.state = state
        self.links = links
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.run_once()
            await asyncio.sleep(TICK_S)

    def run_once(self) -> None:
        """Send due heartbeats, check timeouts and apply the outage rule."""
        now = self.state.now()
        for name in self.state.peers.schedule_heartbeats(now):
            task = asyncio.create_task(self.exchange_heartbeat(name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.state.log_peer_changes(self.state.peers.check_timeouts(now))
        self.state.confirmation.apply_outage_rule(
            self.state.peers.states(now),
            self.state.share_slots,
            now,
        )

    async def exchange_heartbeat(self, name: str) -> None:
        """Send a heartbeat to a host and process its answer."""
        host = self.state.peers.host_record(name)
        if host is None:
            return
        sent_at = self.state.now()
        answer = await self.links.link_to(host).call(
            self.state.heartbeat(),
            HEARTBEAT_TIMEOUT_S,
        )
        now = self.state.now()
        match answer:
            case Ok(messages.Heartbeat() as heartbeat):
                self.receive_heartbeat(heartbeat, sent_at, name)
            case _:
                self.state.metrics.count('membership.missed')
                self.state.log_peer_changes(
                    self.state.peers.record_missed_heartbeat(name, now)
                )

    def receive_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        sent_at: float | None,
        requested_host: str | None,
    ) -> None:
        """Process a heartbeat that came as an answer or as a request.

        :param sent_at: when the answered request was sent.
        :param requested_host: the host to which it was sent. Both are
            ``None`` for a heartbeat that came as a request.
        """
        now = self.state.now()
        changes = self.state.peers.receive_heartbeat(
            heartbeat, sent_at, now, requested_host
        )
        self.state.log_peer_changes(changes)
        self.state.confirmation.receive_heartbeat(heartbeat, sent_at, now)
