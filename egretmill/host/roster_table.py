"""The roster as this host last read it."""

import asyncio
import dataclasses
from typing import Annotated

import msgspec

from egretmill import events
from egretmill.decoding import DECODE_ERRORS, Port, parse_ipv4
from egretmill.fleet.freshness import STORE_SOURCE
from egretmill.host.capacity import find_large
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.tables.ports import Changes, Snapshot, StoredRow
from egretmill.tables.versions import number_of

__all__ = ('ROSTER_TABLE', 'RosterEntry', 'RosterRow', 'RosterTable')

ROSTER_TABLE = 'egretmill-roster'
#: Requests per second; far more than a host can serve.
MAX_CAPACITY_PER_S = 1e9
CapacityPerS = Annotated[float, msgspec.Meta(ge=0, le=MAX_CAPACITY_PER_S)]


class RosterEntry(msgspec.Struct, frozen=True):
    """Content of a row: where the host receives heartbeats.

    :param suspected: another host has received no heartbeats from it.
    :param known_by_all: every other host counts this one, so a restarted
        incarnation need not wait for them.
    :param capacity_per_s: capacity in requests per second, 0 for unknown.
    """

    address: str
    port: Port
    suspected: bool = False
    known_by_all: bool = False
    capacity_per_s: CapacityPerS = 0


@dataclasses.dataclass(slots=True)
class RosterRow:
    """A row of the roster, and when its host was last known to be alive."""

    entry: RosterEntry
    version: int
    last_seen_at: float


class RosterTable:
    """Applies the rows of the roster to the state of the host."""

    def __init__(self, state: HostState) -> None:
        """Start without rows."""
        self.state = state
        self.rows: dict[str, RosterRow] = {}
        #: Versions of all rows when they were last read, malformed ones too.
        self.row_versions: dict[str, int] = {}
        #: Rows of hosts that were removed, by name.
        self.removed_rows: dict[str, RosterRow] = {}
        #: Names of removed hosts that the store has again.
        self.revived: set[str] = set()
        #: Set when the store has returned from an older copy.
        self.restored = asyncio.Event()

    def replace_rows(self, snapshot: Snapshot) -> None:
        """Replace the roster."""
        rows = snapshot.rows
        self.row_versions = {row.key: row.version for row in rows}
        present = {row.key for row in rows}
        for name in self.rows.keys() - present:
            self.drop_row(name)
        for row in rows:
            self.put_row(row)

    def restore_rows(self, snapshot: Snapshot) -> None:
        """Apply the roster as of a return of the store from an older copy.

        Hosts that it lacks stay members while they write their entries again;
        a host that was removed since does not become one.
        """
        known = dict(self.rows)
        removed = dict(self.removed_rows)
        self.replace_rows(snapshot)
        self.rows = {**known, **self.rows}
        self.removed_rows = removed
        for name in removed.keys() & self.rows.keys() - known.keys():
            if _is_same_number(self.rows[name], removed[name]):
                self.rows.pop(name)
                self.revived.add(name)
        self.restored.set()

    def drop_row(self, name: str) -> None:
        """Drop the entry of a host that was removed."""
        row = self.rows.pop(name, None)
        if row is not None:
            self.removed_rows[name] = row

    def apply_changes(self, changes: Changes) -> None:
        """Apply changed and removed entries."""
        for row in changes.rows:
            if row.removed:
                self.row_versions.pop(row.key, None)
                self.drop_row(row.key)
            else:
                self.row_versions[row.key] = row.version
                self.put_row(row)

    def confirm_current(
        self, sent_at: float, source: str = STORE_SOURCE
    ) -> None:
        """Apply the roster, which was current at a boot time."""
        self.state.share.freshness.confirm(sent_at, source)
        before = self.state.share.members
        self.state.suspects = frozenset(
            name for name, row in self.rows.items() if row.entry.suspected
        )
        now = self.state.now()
        candidates = find_large(
            {name: row.entry.capacity_per_s for name, row in self.rows.items()}
        )
        if self.state.share.apply_roster(self.rows, sent_at, now, candidates):
            self.state.peers.apply_roster(
                {
                    name: (row.entry.address, row.entry.port)
                    for name, row in self.rows.items()
                },
            )
            log_event(
                events.CATALOGUE.ROSTER_CHANGED,
                added=sorted(self.rows.keys() - before),
                removed=sorted(before - self.rows.keys()),
            )

    def put_row(self, row: StoredRow) -> None:
        """Decode and store an entry; a malformed one is treated as missing."""
        try:
            entry = msgspec.json.decode(row.content, type=RosterEntry)
            parse_ipv4(entry.address)
        except DECODE_ERRORS as error:
            self.rows.pop(row.key, None)
            log_event(
                events.CATALOGUE.ROW_MALFORMED,
                table=ROSTER_TABLE,
                key=row.key,
                detail=str(error),
            )
            return
        self.rows[row.key] = RosterRow(entry, row.version, self.state.now())


def _is_same_number(row: RosterRow, other: RosterRow) -> bool:
    """Return whether two rows have the same number, maybe in other eras."""
    return number_of(row.version) == number_of(other.version)
