"""Exchanges beats with all other hosts and learns from them."""

import asyncio
import math
from collections.abc import Callable

from egretmill import events
from egretmill.fleet.knowledge import Topic
from egretmill.host.differences import Differences, knowledge_of
from egretmill.host.news import NewsDesk
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.peers.beat import (
    Beat,
    Datagram,
    TokenAnswer,
    TokenAsk,
    UpstreamNews,
)
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer
from egretmill.shares.loans import Shortage

__all__ = ('Beats',)

#: An answer to an older beat proves nothing any more.
LONGEST_ROUND_TRIP_S = 3.0
#: Least time between two beats to one peer as a part of the interval.
REPLY_PART = 0.25


def ignore_news(news: UpstreamNews) -> None:
    """Take no notice of changed upstreams."""


class Beats:
    """Sends a beat to each peer in every interval.

    :param on_difference: called with the topic of which a peer knows
        something else.
    :param on_news: called with changed upstreams from a host on duty.
    """

    def __init__(
        self,
        state: HostState,
        on_difference: Callable[[Topic], None],
        on_news: Callable[[UpstreamNews], None] = ignore_news,
    ) -> None:
        self.state = state
        self.on_news = on_news
        self.on_difference = on_difference
        self.tokens = state.tokens
        self.link: PeerLink | None = None
        self.alive: frozenset[str] = frozenset()
        self.on_duty = False
        self.differences = Differences(state)
        #: Shortages and what can be lent, as of the last tick.
        self.told: tuple[dict[str, tuple[float, float]], dict[str, float]]
        self.told = ({}, {})

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
        self.differences.note_own()
        self.state.accounts.refresh(now)
        shortages = {
            account: (round(row.need, 4), round(row.held, 4))
            for account, row in self.state.accounts.find_shortages(now).items()
        }
        spare = self.state.accounts.lendable_fractions(now)
        self.told = (shortages, spare)
        for peer in self.state.peers.peers.values():
            self.send(peer, shortages, spare, now)
        self.note_alive(now)
        self.note_duty()
        self.state.share_retries()

    def announce(self, desk: NewsDesk) -> None:
        """Tell the others at once what a host on duty has learned."""
        if not self.state.on_duty():
            desk.forget()
            return
        for news in desk.take():
            for peer in self.state.peers.peers.values():
                if self.link is not None:
                    self.link.send(news, peer.address)
        before = self.differences.digests.get(Topic.CONFIGURATION)
        self.differences.note_own()
        if before != self.differences.digests[Topic.CONFIGURATION]:
            self.tick()

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
        peer.told_at = now
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
        digests = self.differences.digests
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
            digests[Topic.CONFIGURATION],
            state.proof(Topic.CONFIGURATION).age(now),
            digests[Topic.ROSTER],
            state.proof(Topic.ROSTER).age(now),
            shortages,
            loans,
            settings.capacity.room,
            digests[Topic.UPSTREAMS],
            state.proof(Topic.UPSTREAMS).age(now),
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
            lent = state.loans.lent_fraction(account, now)
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
            case UpstreamNews() as news:
                self.on_news(news)

    def hear(self, beat: Beat, address: tuple[str, int]) -> None:
        """Learn from a beat."""
        state = self.state
        now = state.now()
        if not state.peers.hear(beat, address, now):
            return
        self.reply(state.peers.peers[beat.host], now)
        asked_at = beat.answers
        if not 0 < now - asked_at < LONGEST_ROUND_TRIP_S:
            self.compare(beat, -math.inf, now)
            return
        state.loans.accept_answer(beat.host, beat.loans, asked_at)
        self.compare(beat, asked_at, now)
        self.confirm_share(now)

    def reply(self, peer: Peer, now: float) -> None:
        """Answer a beat at once if this host is on duty.

        A proof counts from when the other host asked, so it is younger the
        sooner the answer comes. Two hosts that both reply to each other do
        so no more than a few times in an interval.
        """
        rest_s = self.state.peers.interval_s * REPLY_PART
        if not self.on_duty or now - peer.told_at < rest_s:
            return
        self.send(peer, *self.told, now)

    def compare(self, beat: Beat, asked_at: float, now: float) -> None:
        """Take the proofs of a peer that knows the same.

        :param asked_at: boot time of the beat that this one answers.
        """
        self.differences.note_own()
        for topic, told in knowledge_of(beat).items():
            if told.digest == self.differences.digests[topic]:
                if told.age_s >= 0:
                    self.state.proof(topic).confirm(asked_at - told.age_s)
            elif self.differences.is_worth_a_look(topic, told, now):
                self.on_difference(topic)

    def confirm_share(self, now: float) -> None:
        """Use the own part once every member is known to know the roster."""
        share = self.state.share
        if now >= share.active_at or share.host not in share.members:
            return
        digest = self.state.digest(Topic.ROSTER)
        for name in share.members - {share.host}:
            peer = self.state.peers.peers.get(name)
            if peer is None or peer.beat is None:
                return
            if peer.beat.roster != digest:
                return
        share.record_known_by_all(now)

    def note_duty(self) -> None:
        """Log the begin and end of the duty to follow the store."""
        on_duty = self.state.on_duty()
        if on_duty is not self.on_duty:
            self.on_duty = on_duty
            log_event(
                events.CATALOGUE.DUTY_CHANGED,
                on_duty=on_duty,
                alive=len(self.alive),
            )

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
