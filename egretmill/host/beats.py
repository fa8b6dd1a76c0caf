"""Exchanges beats with all other hosts and learns from them."""

import asyncio
from collections.abc import Callable

from egretmill import events
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.peers.beat import Beat, Datagram, TokenAnswer, TokenAsk
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer
from egretmill.shares.loans import Shortage

__all__ = ('Beats',)

#: An answer to an older beat proves nothing any more.
LONGEST_ROUND_TRIP_S = 3.0
#: Least time between two looks for changes that peers know of, in seconds.
LOOK_S = 0.2


class Beats:
    """Sends a beat to each peer in every interval.

    :param on_difference: called when a peer knows something else.
    """

    def __init__(
        self,
        state: HostState,
        on_difference: Callable[[], None],
    ) -> None:
        self.state = state
        self.on_difference = on_difference
        self.tokens = state.tokens
        self.link: PeerLink | None = None
        self.alive: frozenset[str] = frozenset()
        self.looked_at = 0.0

    async def run(self) -> None:
        """Send beats until cancelled."""
        settings = self.state.settings
        self.link = await PeerLink.open(
            settings.address,
            settings.peer_port,
            self.receive,
        )
        self.tokens.link = self.link
        try:
            while True:
                self.tick()
                await asyncio.sleep(self.state.peers.interval_s)
        finally:
            self.link.close()

    def tick(self) -> None:
        """Send one beat to each peer and note who has gone or come."""
        now = self.state.now()
        self.state.accounts.refresh(now)
        shortages = {
            account: (round(row.need, 4), round(row.held, 4))
            for account, row in self.state.accounts.shortages(now).items()
        }
        spare = self.state.accounts.spare(now)
        for peer in self.state.peers.peers.values():
            self.send(peer, shortages, spare, now)
        self.note_alive(now)
        self.state.share_retries()

    def send(
        self,
        peer: Peer,
        shortages: dict[str, tuple[float, float]],
        spare: dict[str, float],
        now: float,
    ) -> None:
        """Send a beat that answers the peer's last one."""
        if self.link is None:
            return
        loans = self.lend(peer, spare, now)
        beat = self.beat(peer, shortages, loans, now)
        self.link.send(beat, peer.address)

    def beat(
        self,
        peer: Peer,
        shortages: dict[str, tuple[float, float]],
        loans: dict[str, float],
        now: float,
    ) -> Beat:
        """Return what a peer is told now."""
        state = self.state
        settings = state.settings
        answers = 0.0
        if peer.beat is not None and now - peer.heard_at < LONGEST_ROUND_TRIP_S:
            answers = peer.beat.sent_at
        return Beat(
            settings.name,
            state.incarnation,
            str(settings.entry),
            settings.failure_domain,
            settings.region,
            state.ready,
            now,
            answers,
            state.knowledge_digest(),
            state.knowledge.configuration_proof.age(now),
            state.roster_digest(),
            state.share.proof.age(now),
            shortages,
            loans,
            settings.room,
        )

    def lend(
        self,
        peer: Peer,
        spare: dict[str, float],
        now: float,
    ) -> dict[str, float]:
        """Answer the shortages of a peer."""
        state = self.state
        if peer.beat is None or not state.peers.is_alive(peer.name, now):
            return {}
        wanted = {
            account: Shortage(*row)
            for account, row in peer.beat.shortages.items()
            if account in spare
        }
        lenders = len(self.alive)
        loans = state.loans.lend(peer.name, wanted, spare, lenders, now)
        for account in loans:
            held = state.share.fraction(now)
            lent = state.loans.lent_out(account, now)
            spare[account] = min(spare[account], max(held - lent, 0))
        return loans

    def receive(self, datagram: Datagram, address: tuple[str, int]) -> None:
        """Take a datagram of a peer."""
        match datagram:
            case Beat() as beat:
                self.hear(beat, address)
            case TokenAsk() as ask:
                answer = self.tokens.answer(ask)
                if self.link is not None:
                    self.link.send(answer, address)
            case TokenAnswer() as answer:
                self.tokens.take(answer)

    def hear(self, beat: Beat, address: tuple[str, int]) -> None:
        """Learn from a beat."""
        state = self.state
        now = state.now()
        if not state.peers.hear(beat, address, now):
            return
        same = beat.knowledge == state.knowledge_digest()
        same_roster = beat.roster == state.roster_digest()
        if not (same and same_roster):
            self.note_difference(beat, now)
        asked_at = beat.answers
        if not 0 < now - asked_at < LONGEST_ROUND_TRIP_S:
            return
        state.loans.take(beat.host, beat.loans, asked_at)
        if same and beat.knowledge_age >= 0:
            proved_at = asked_at - beat.knowledge_age
            state.knowledge.configuration_proof.confirm(proved_at)
        if same_roster and beat.roster_age >= 0:
            state.share.proof.confirm(asked_at - beat.roster_age)
        self.confirm_share(now)

    def note_difference(self, beat: Beat, now: float) -> None:
        """Look for changes if the peer's knowledge is the younger."""
        knowledge_age = self.state.knowledge.configuration_proof.age(now)
        roster_age = self.state.share.proof.age(now)
        younger = (
            beat.knowledge_age < knowledge_age or beat.roster_age < roster_age
        )
        if younger and now - self.looked_at > LOOK_S:
            self.looked_at = now
            self.on_difference()

    def confirm_share(self, now: float) -> None:
        """Use the own part once every member is known to know the roster."""
        share = self.state.share
        if now >= share.active_at or share.host not in share.members:
            return
        digest = self.state.roster_digest()
        for name in share.members - {share.host}:
            peer = self.state.peers.peers.get(name)
            if peer is None or peer.beat is None:
                return
            if peer.beat.roster != digest:
                return
        share.confirmed(now)

    def note_alive(self, now: float) -> None:
        """Log hosts that have come or gone."""
        alive = frozenset(peer.name for peer in self.state.peers.alive(now))
        for name in alive - self.alive:
            log_event(events.CATALOGUE.PEER_UP, peer=name)
        for name in self.alive - alive:
            log_event(events.CATALOGUE.PEER_DOWN, peer=name)
        self.alive = alive
        self.state.metrics.peers.set(len(alive))
        age_s = self.state.knowledge.keyed_age()
        self.state.metrics.knowledge_age.set(age_s)
        self.state.metrics.share.set(self.state.share.fraction(now))
