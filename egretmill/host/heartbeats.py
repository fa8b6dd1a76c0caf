"""Exchanges heartbeats with all other hosts and learns from them."""

import asyncio
import math
from collections.abc import Callable

from egretmill import events
from egretmill.fleet.view import Topic
from egretmill.host.copy_log import CopyLog
from egretmill.host.differences import DifferenceTracker
from egretmill.host.store_read_policy import (
    StoreReadPolicy,
    TopicReport,
    topic_reports,
)
from egretmill.host.upstream_changes import ChangeBuffer
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.peers.datagrams import (
    Heartbeat,
    Datagram,
    LeavingUpstream,
    TokenResponse,
    TokenRequest,
    UpstreamChanges,
)
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer
from egretmill.shares.loans import Shortage
from egretmill.shares.roster import ROSTER_LEASE_S

__all__ = ('HeartbeatService',)

#: A heartbeat that acknowledges one older than this confirms nothing.
MAX_ROUND_TRIP_S = 3.0
#: Least time after a heartbeat to a peer before an immediate reply to it, as a
#: fraction of the interval.
MIN_REPLY_INTERVAL_RATIO = 0.25


def ignore_changes(changes: UpstreamChanges) -> None:
    """Ignore changed upstreams."""


def ignore_peer(peer: Peer) -> None:
    """Ignore a peer with a newer configuration."""


def ignore_leaving(upstream: LeavingUpstream, address: tuple[str, int]) -> None:
    """Ignore an upstream that leaves."""


def ignore_topic(topic: Topic) -> None:
    """Ignore a difference."""


class HeartbeatService:
    """Sends a heartbeat to each peer in every interval and handles theirs.

    :param on_difference: called with a topic for which the store is to be
        read, because a peer has other data on it.
    :param on_changes: called with changes of upstreams from a designated
        reader.
    """

    def __init__(
        self,
        state: HostState,
        on_difference: Callable[[Topic], None],
        on_changes: Callable[[UpstreamChanges], None] = ignore_changes,
    ) -> None:
        self.state = state
        self.on_changes = on_changes
        self.on_difference = on_difference
        #: Called with a peer that has a newer configuration.
        self.on_newer_configuration: Callable[[Peer], None] = ignore_peer
        #: Called with a topic for which the whole table is to be read.
        #: Called with an upstream that has told a peer that it is leaving.
        self.on_leaving: Callable[[LeavingUpstream, tuple[str, int]], None] = (
            ignore_leaving
        )
        self.on_lasting_difference: Callable[[Topic], None] = ignore_topic
        self.tokens = state.tokens
        self.link: PeerLink | None = None
        self.live_names: frozenset[str] = frozenset()
        self.is_designated_reader = False
        self.read_policy = StoreReadPolicy(state)
        self.differences = DifferenceTracker()
        self.copy_log = CopyLog(state)
        #: Shortages and spare fractions by account, as of the last tick.
        self.advertised: tuple[dict[str, tuple[float, float]], dict[str, float]]
        self.advertised = ({}, {})

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
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
        """Send a heartbeat to each peer; update live peers and the own role."""
        now = self.state.now()
        self.state.accounts.refresh(now)
        self.state.limits_of_upstreams.refresh(now)
        shortages = {
            account: (round(row.need, 4), round(row.held, 4))
            for account, row in self.state.accounts.find_shortages(now).items()
        }
        spare = self.state.accounts.lendable_fractions(now)
        self.advertised = (shortages, spare)
        _remove_dead_peers(self.state, now)
        for peer in self.state.peers.peers.values():
            self.send_heartbeat(peer, shortages, spare, now)
        self.update_live_peers(now)
        self.update_reader_role()
        self.state.update_retry_allowance()
        self.copy_log.log_if_due(now)

    def broadcast(self, datagram: Datagram) -> None:
        """Send a datagram to all peers at once."""
        if self.link is None:
            return
        for peer in self.state.peers.peers.values():
            self.link.send(datagram, peer.address)

    def broadcast_changes(self, buffer: ChangeBuffer) -> None:
        """Send changes to all peers at once, from a designated reader only."""
        if not self.state.is_designated_reader():
            buffer.clear()
            return
        for changes in buffer.drain():
            self.broadcast(changes)
        previous_digest = self.read_policy.digests.get(Topic.CONFIGURATION)
        digests = self.read_policy.update_own_digests()
        if previous_digest != digests[Topic.CONFIGURATION]:
            self.tick()

    def send_heartbeat(
        self,
        peer: Peer,
        shortages: dict[str, tuple[float, float]],
        spare: dict[str, float],
        now: float,
    ) -> None:
        """Send a heartbeat that acknowledges the peer's last one."""
        if self.link is None:
            return
        peer.last_sent_at = now
        loans = self.grant_loans(peer, spare, now)
        heartbeat = self.make_heartbeat(peer, shortages, loans, now)
        self.link.send(heartbeat, peer.address)

    def make_heartbeat(
        self,
        peer: Peer,
        shortages: dict[str, tuple[float, float]],
        loans: dict[str, float],
        now: float,
    ) -> Heartbeat:
        """Return the heartbeat for a peer.

        Each age belongs to the digest beside it: a peer with the same digest
        takes the age over.
        """
        state = self.state
        settings = state.settings
        digests = self.read_policy.update_own_digests()
        answers = 0.0
        if (
            peer.heartbeat is not None
            and now - peer.last_received_at < MAX_ROUND_TRIP_S
        ):
            answers = peer.heartbeat.sent_at
        return Heartbeat(
            settings.name,
            state.incarnation,
            str(settings.entry),
            settings.failure_domain,
            settings.region,
            state.is_ready,
            now,
            answers,
            digests[Topic.CONFIGURATION],
            state.freshness(Topic.CONFIGURATION).age(now),
            digests[Topic.ROSTER],
            state.freshness(Topic.ROSTER).age(now),
            shortages,
            loans,
            settings.capacity.requests_per_s,
            digests[Topic.UPSTREAMS],
            state.freshness(Topic.UPSTREAMS).age(now),
            state.limits_of_upstreams.announcements(now),
            state.view.version,
        )

    def grant_loans(
        self,
        peer: Peer,
        spare: dict[str, float],
        now: float,
    ) -> dict[str, float]:
        """Return the fractions to lend to a peer, by account."""
        state = self.state
        if peer.heartbeat is None or not state.peers.is_alive(peer.name, now):
            return {}
        shortages = {
            account: Shortage(*row)
            for account, row in peer.heartbeat.shortages.items()
            if account in spare
        }
        lenders = len(self.live_names)
        loans = state.loans.lend(peer.name, shortages, spare, lenders, now)
        for account in loans:
            held = state.share.fraction(now)
            lent = state.loans.lent_fraction(account, now)
            spare[account] = min(spare[account], max(held - lent, 0))
        return loans

    def receive(self, datagram: Datagram, address: tuple[str, int]) -> None:
        """Dispatch a datagram of a peer."""
        match datagram:
            case Heartbeat() as heartbeat:
                self.handle_heartbeat(heartbeat, address)
            case TokenRequest() as request:
                response = self.tokens.handle_request(request)
                if self.link is not None:
                    self.link.send(response, address)
            case TokenResponse() as response:
                self.tokens.handle_response(response)
            case UpstreamChanges() as changes:
                if _takes_part(self.state, changes.host, address):
                    self.on_changes(changes)
                else:
                    log_event(
                        events.CATALOGUE.CHANGES_IGNORED,
                        host=changes.host,
                        address=address[0],
                    )
            case LeavingUpstream() as leaving:
                self.on_leaving(leaving, address)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, address: tuple[str, int]
    ) -> None:
        """Record a heartbeat and take over what it confirms and lends."""
        state = self.state
        now = state.now()
        if not state.peers.record_heartbeat(heartbeat, address, now):
            return
        self.reply_if_reader(state.peers.peers[heartbeat.host], now)
        request_sent_at = heartbeat.answers
        if not 0 < now - request_sent_at < MAX_ROUND_TRIP_S:
            self.compare_digests(heartbeat, -math.inf, now)
            return
        state.loans.accept_answer(
            heartbeat.host, heartbeat.loans, request_sent_at
        )
        self.compare_digests(heartbeat, request_sent_at, now)
        state.limits_of_upstreams.apply_announcements(
            heartbeat.limits, heartbeat.host, now
        )
        _activate_share(state, now)

    def reply_if_reader(self, peer: Peer, now: float) -> None:
        """Reply to a heartbeat at once if this host is a designated reader.

        A confirmation counts from when the other host sent its heartbeat, so a
        quick reply makes it fresher. The minimum interval bounds the exchange
        between two hosts that both reply at once.
        """
        min_interval_s = self.state.peers.interval_s * MIN_REPLY_INTERVAL_RATIO
        if (
            not self.is_designated_reader
            or now - peer.last_sent_at < min_interval_s
        ):
            return
        self.send_heartbeat(peer, *self.advertised, now)

    def compare_digests(
        self, heartbeat: Heartbeat, request_sent_at: float, now: float
    ) -> None:
        """Confirm data that equals the peer's; report data that differs.

        :param request_sent_at: boot time at which this host sent the heartbeat
            that the peer's one acknowledges.
        """
        digests = self.read_policy.update_own_digests()
        self.state.view.configuration_lag.record_own(
            digests[Topic.CONFIGURATION]
        )
        for topic, report in topic_reports(heartbeat).items():
            self.differences.record_own(topic, digests[topic], now)
            if report.digest == digests[topic]:
                if report.age_s >= 0:
                    self.state.freshness(topic).confirm(
                        request_sent_at - report.age_s,
                        heartbeat.host,
                        report.age_s,
                    )
            self.track_difference(topic, heartbeat.host, report, now)
            if report.digest == digests[topic]:
                continue
            if topic is Topic.CONFIGURATION:
                self.record_newer_configuration(heartbeat, now)
            if self.read_policy.should_read_store(topic, report, now):
                self.on_difference(topic)

    def track_difference(
        self, topic: Topic, peer: str, report: TopicReport, now: float
    ) -> None:
        """Read the whole table if a peer has had other data for long."""
        if self.differences.is_equal(topic, report.digest):
            self.differences.record_equal(topic, peer, now)
            return
        if not self.differences.should_read_whole(
            topic, peer, report.age_s, now
        ):
            return
        log_event(events.CATALOGUE.PEER_DIFFERS, peer=peer, topic=topic.value)
        self.on_lasting_difference(topic)

    def record_newer_configuration(
        self, heartbeat: Heartbeat, now: float
    ) -> None:
        """Record another configuration of a peer, if it is the newer one."""
        view = self.state.view
        lag = view.configuration_lag
        version = heartbeat.configuration_version
        if 0 < version < view.version:
            return
        if version > view.version:
            lag.record_later_version(version, heartbeat.knowledge, now)
            is_newer = True
        else:
            is_newer = lag.record_difference(
                heartbeat.knowledge,
                heartbeat.knowledge_age,
                view.configuration_freshness,
                now,
            )
        if is_newer:
            self.on_newer_configuration(self.state.peers.peers[heartbeat.host])

    def update_reader_role(self) -> None:
        """Update whether this host is a designated reader; log a change."""
        is_reader = self.state.is_designated_reader()
        if is_reader is not self.is_designated_reader:
            self.is_designated_reader = is_reader
            log_event(
                events.CATALOGUE.DUTY_CHANGED,
                on_duty=is_reader,
                alive=len(self.live_names),
            )

    def update_live_peers(self, now: float) -> None:
        """Update live peers and gauges; log hosts that came up or went down."""
        live_names = frozenset(
            peer.name for peer in self.state.peers.live_peers(now)
        )
        for name in live_names - self.live_names:
            log_event(events.CATALOGUE.PEER_UP, peer=name)
        for name in self.live_names - live_names:
            log_event(events.CATALOGUE.PEER_DOWN, peer=name)
        self.live_names = live_names
        self.state.metrics.peers.set(len(live_names))
        age_s = self.state.view.configuration_age_s()
        self.state.metrics.configuration_age.set(age_s)
        self.state.metrics.share.set(self.state.share.fraction(now))


def _takes_part(state: HostState, host: str, address: tuple[str, int]) -> bool:
    """Return whether a host of the fleet has an address.

    A host that the roster does not name may have joined since it was current.
    """
    peer = state.peers.peers.get(host)
    if peer is None or peer.address != address:
        return False
    is_stale = state.share.freshness.age(state.now()) > ROSTER_LEASE_S
    return peer.is_listed or is_stale


def _remove_dead_peers(state: HostState, now: float) -> None:
    """Remove dead hosts outside the roster if others found no room."""
    refused = state.peers.refused
    if not refused:
        return
    removed = state.peers.make_room(now)
    state.loans.forget_lenders(removed)
    log_event(
        events.CATALOGUE.HEARTBEATS_REFUSED,
        refused=refused,
        removed=len(removed),
    )


def _activate_share(state: HostState, now: float) -> None:
    """Activate the own share once every member has the current roster."""
    share = state.share
    if now >= share.active_at or share.host not in share.members:
        return
    digest = state.digest(Topic.ROSTER)
    for name in share.members - {share.host}:
        peer = state.peers.peers.get(name)
        if peer is None or peer.heartbeat is None:
            return
        if peer.heartbeat.roster != digest:
            return
    share.record_known_by_all(now)
