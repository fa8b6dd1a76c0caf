"""State of the agent: its host, its peers and the platform's data."""

import dataclasses
import time
from collections.abc import Callable, Iterable

import msgspec
import xxhash
from result import Err, Ok, Result

from egretmill import events
from egretmill.document import Environment
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.membership.confirmation import Confirmation
from egretmill.membership.peers import PeerChange, Peers
from egretmill.membership.slot_lease import SlotLeaseManager
from egretmill.metrics import Metrics
from egretmill.settings import HostSettings
from egretmill.store.ports import Hosts
from egretmill.wire import messages

__all__ = ('AgentState', 'LocalProgram')

# The entry program reports ten times a second; after this time without a
# report it is treated as ended.
LOCAL_REPORT_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class LocalProgram:
    """The last report of a program of this host."""

    incarnation: int = 0
    ready: bool = False
    leaving: bool = False
    seen_at: float = float('-inf')

    def has_recent_report(self, now: float) -> bool:
        """Return whether the last report is recent."""
        return now - self.seen_at <= LOCAL_REPORT_TIMEOUT_S


class AgentState:
    """All state of one agent; changed only in its event loop."""

    def __init__(
        self,
        settings: HostSettings,
        incarnation: int,
        metrics: Metrics,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with the host's own settings only."""
        self.settings = settings
        self.incarnation = incarnation
        self.metrics = metrics
        self.now = now
        self.environment: Environment | None = None
        self.peers = Peers(settings.name, settings.timing.heartbeat_s)
        self.confirmation = Confirmation(settings.name)
        self.slot_manager: SlotLeaseManager | None = None
        self.hosts: Hosts | None = None
        self.upstreams: tuple[messages.UpstreamRecord, ...] = ()
        self.upstreams_digest = ''
        self.entry = LocalProgram()
        self.steer = LocalProgram()
        self.leaving = False

    @property
    def version(self) -> int:
        """Return the version in force, 0 when there is none."""
        return self.environment.version if self.environment else 0

    @property
    def share_slots(self) -> int:
        """Return the number of share slots of the fleet."""
        return self.environment.share_slots if self.environment else 0

    def own_record(self) -> messages.HostRecord:
        """Return the record of this host for the host list."""
        ports = self.settings.ports
        return messages.HostRecord(
            name=self.settings.name,
            failure_domain=self.settings.failure_domain,
            address=self.settings.address,
            entry_port=ports.entry,
            steer_port=ports.steer,
            agent_port=ports.agent,
            entry_peer_port=ports.entry_peer,
        )

    def usable_slot(self) -> messages.ShareSlot | None:
        """Return the share slot of this host, ``None`` if not usable now."""
        return (
            self.slot_manager.usable_slot(self.now())
            if self.slot_manager
            else None
        )

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat that this host sends to its peers."""
        now = self.now()
        slot = self.usable_slot()
        entry_alive = self.entry.has_recent_report(now)
        return messages.Heartbeat(
            host=self.settings.name,
            incarnation=self.incarnation,
            version=self.version,
            confirmation_age_s=self.confirmation.confirmation_age_s(now),
            platform_age_s=self.confirmation.platform_age_s(now),
            leaving=self.leaving or self.entry.leaving,
            entry_ready=entry_alive and self.entry.ready,
            slot_index=slot.index if slot else None,
            entry_incarnation=self.entry.incarnation,
        )

    def peer_states(self) -> tuple[messages.PeerState, ...]:
        """Return the states of all known entry hosts, this one included."""
        now = self.now()
        self.peers.update_own_state(self.own_record(), self.heartbeat(), now)
        return self.peers.states(now)

    def host_state(self, request: messages.PullState) -> messages.HostState:
        """Return the answer to a poll of a program of this host."""
        now = self.now()
        body = b''
        if self.environment and self.version > request.known_version:
            body = self.environment.body
        document = self.environment and self.environment.document
        return messages.HostState(
            host=self.settings.name,
            version=self.version,
            document=body,
            confirmed_at=self.confirmation.applied_confirmed_at,
            settled_version=self.confirmation.settled_version(
                now,
                self.share_slots,
            ),
            slot=self.usable_slot(),
            slot_known=self.slot_manager is not None
            and self.slot_manager.has_read_row,
            peers=self.peer_states(),
            upstreams=self.upstreams_for(request),
            upstreams_digest=self.upstreams_digest,
            blocks_digest=(document and document.client_blocks) or '',
        )

    def upstreams_for(
        self,
        request: messages.PullState,
    ) -> tuple[messages.UpstreamRecord, ...] | None:
        """Return the upstreams if the program needs them and lacks them."""
        if request.program != 'entry':
            return None
        if request.known_upstreams == self.upstreams_digest:
            return None
        return self.upstreams

    def apply_host_list(self, hosts: Hosts) -> None:
        """Apply a host list to peers and upstreams."""
        changes = self.peers.apply_host_list(hosts.entry_hosts, self.now())
        self.log_peer_changes(changes)
        if hosts.upstreams != self.upstreams or not self.upstreams_digest:
            body = msgspec.msgpack.encode(hosts.upstreams)
            self.upstreams_digest = xxhash.xxh3_64_hexdigest(body)
            self.upstreams = hosts.upstreams
        self.hosts = hosts

    def known_hosts(self) -> Result[messages.KnownHosts, Failure]:
        """Return the last host list, for a host that starts in an outage."""
        if self.hosts is None:
            return Err(Failure(ErrorKind.NOT_READY, 'no host list yet'))
        known = messages.KnownHosts(
            self.hosts.entry_hosts,
            self.hosts.upstreams,
        )
        return Ok(known)

    def apply_environment(self, environment: Environment) -> bool:
        """Put a version in force; return whether it is a new one.

        An older version is ignored.
        """
        if not self.confirmation.apply_version(environment.version, self.now()):
            return False
        if environment.version == self.version:
            return False
        self.environment = environment
        self.confirmation.holders.lease_s = environment.document.quota.lease_s
        self.metrics.gauge('configuration.version', environment.version)
        log_event(
            events.CATALOGUE.CONFIGURATION_APPLIED,
            version=environment.version,
            digest=environment.digest,
        )
        return True

    def log_peer_changes(self, changes: Iterable[PeerChange]) -> None:
        """Log and count changes in the states of peers."""
        for change in changes:
            self.metrics.count(f'membership.{change.event.name}')
            log_event(
                change.event,
                peer=change.host,
                incarnation=change.incarnation,
                reason=change.reason,
            )

    def is_live(self, host: str, incarnation: int) -> bool:
        """Return whether an incarnation of a host is known to be running."""
        if host == self.settings.name:
            return incarnation == self.incarnation
        return self.peers.is_live(host, incarnation, self.now()) is True
