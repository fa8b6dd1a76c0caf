"""Exchanges beats with all other hosts and learns from them."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from egretmill import events
from egretmill.fleet.knowledge import Topic
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
#: Least time between two looks for changes that peers know of, in seconds.
LOOK_S = 0.2
#: ... and for a difference that an earlier look has not removed: hosts can
#: differ for long, as when one still waits for a lapsed entry to return.
LOOK_AGAIN_S = 1.0
#: Changed upstreams come from the host on duty by themselves; a host that
#: hears of them otherwise waits for them first: twice the longest way, in
#: seconds.
SETTLE_S = 0.1
#: What a call brings can be younger than its proof by its duration: the wait
#: for a change and the way to the store and back, in seconds.
CALL_S = 1.0
#: Digests that are kept, own ones and those looked for, to tell news from
#: what a peer has not learned yet; a storm of changes has a dozen.
DIGESTS_KEPT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a peer says of a topic.

    :param age_s: age of its proof; negative when it has none.
    """

    digest: int
    age_s: float


def knowledge_of(beat: Beat) -> dict[Topic, Told]:
    """Return what a beat says of each topic."""
    return {
        Topic.CONFIGURATION: Told(beat.knowledge, beat.knowledge_age),
        Topic.UPSTREAMS: Told(beat.upstreams, beat.upstreams_age),
        Topic.ROSTER: Told(beat.roster, beat.roster_age),
    }


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
        self.looked_at: dict[Topic, float] = {}
        self.digests: dict[Topic, int] = {}
        #: Unknown digest of upstreams heard last, and when first.
        self.heard = (0, 0.0)
        self.past = {
            topic: collections.deque[int](maxlen=DIGESTS_KEPT)
            for topic in Topic
        }

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
        self.note_digests()
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

    def note_digests(self) -> None:
        """Note what is known now."""
        for topic in Topic:
            digest = self.state.digest(topic)
            if digest != self.digests.get(topic):
                self.digests[topic] = digest
                self.past[topic].append(digest)

    def announce(self, desk: NewsDesk) -> None:
        """Tell the others at once what a host on duty has learned."""
        if not self.state.on_duty():
            desk.forget()
            return
        for news in desk.take():
            for peer in self.state.peers.peers.values():
                if self.link is not None:
                    self.link.send(news, peer.address)
        before = dict(self.digests)
        self.note_digests()
        if before.get(Topic.CONFIGURATION) != self.digests[Topic.CONFIGURATION]:
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
            self.digests[Topic.CONFIGURATION],
            state.proof(Topic.CONFIGURATION).age(now),
            self.digests[Topic.ROSTER],
            state.proof(Topic.ROSTER).age(now),
            shortages,
            loans,
            settings.room,
            self.digests[Topic.UPSTREAMS],
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
            case UpstreamNews() as news:
                self.on_news(news)

    def hear(self, beat: Beat, address: tuple[str, int]) -> None:
        """Learn from a beat."""
        state = self.state
        now = state.now()
        if not state.peers.hear(beat, address, now):
            return
        self.note_digests()
        asked_at = beat.answers
        is_answer = 0 < now - asked_at < LONGEST_ROUND_TRIP_S
        if is_answer:
            state.loans.take(beat.host, beat.loans, asked_at)
        for topic, told in knowledge_of(beat).items():
            if told.digest != self.digests[topic]:
                self.note_difference(topic, told, now)
            elif is_answer and told.age_s >= 0:
                state.proof(topic).confirm(asked_at - told.age_s)
        if is_answer:
            self.confirm_share(now)

    def note_difference(self, topic: Topic, told: Told, now: float) -> None:
        """Look for changes unless the peer is the one that is behind."""
        own_age_s = self.state.proof(topic).age(now)
        is_news = told.digest not in self.past[topic]
        if is_news and not self.is_settled(topic, told.digest, now):
            return
        newer_s, rest_s = (CALL_S, LOOK_S) if is_news else (0, LOOK_AGAIN_S)
        rested = now - self.looked_at.get(topic, 0) > rest_s
        if told.age_s - newer_s < own_age_s and rested:
            self.looked_at[topic] = now
            self.past[topic].append(told.digest)
            self.on_difference(topic)

    def is_settled(self, topic: Topic, digest: int, now: float) -> bool:
        """Tell whether news of others can have arrived here as well."""
        if topic is not Topic.UPSTREAMS:
            return True
        if self.heard[0] != digest:
            self.heard = (digest, now)
        return now - self.heard[1] >= SETTLE_S

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
