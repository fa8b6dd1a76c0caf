"""Keeps the own entry of the roster and removes those of hosts long gone."""

import asyncio
import dataclasses

import msgspec
from result import Err, Ok

from egretmill import events
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.shares.loans import LOAN_S
from egretmill.shares.roster import LEASE_S
from egretmill.tables.ports import (
    RowKey,
    StoredRow,
    StoreFailure,
    TableStore,
    Write,
)

__all__ = ('ROSTER_TABLE', 'RosterKeeper')

ROSTER_TABLE = 'egretmill-roster'
#: An entry is removed when its host was silent for this time, in seconds;
#: well above a restart, which keeps its entry.
GONE_S = 30.0
CHECK_S = 5.0
#: Pause between two tries to write the own entry, in seconds.
RETRY_S = 0.3


class RosterEntry(msgspec.Struct, frozen=True):
    """Content of a row: where the host gets beats."""

    address: str
    port: int


@dataclasses.dataclass(slots=True)
class KnownRow:
    """A row of the roster and when its host was last known to live."""

    entry: RosterEntry
    version: int
    seen_at: float


class RosterKeeper:
    """Listens to the table of the roster and writes to it."""

    def __init__(self, state: HostState, store: TableStore) -> None:
        """Keep the entry of the host of a state."""
        self.state = state
        self.store = store
        self.rows: dict[str, KnownRow] = {}

    async def join(self) -> None:
        """Write the own entry; its version is the incarnation."""
        settings = self.state.settings
        while True:
            read = await self.store.read(ROSTER_TABLE)
            if isinstance(read, Ok):
                known = {row.key: row.version for row in read.ok_value.rows}
                expected = known.get(settings.name, 0)
                if await self.write_own(expected):
                    return
            await asyncio.sleep(RETRY_S)

    async def write_own(self, expected: int) -> bool:
        """Write the own entry; return whether it is in the store."""
        settings = self.state.settings
        entry = RosterEntry(settings.address, settings.peer_port)
        row = RowKey(ROSTER_TABLE, settings.name)
        write = Write(row, msgspec.json.encode(entry), expected)
        written = await self.store.transact((write,))
        if isinstance(written, Err):
            self.log_failure('join', written.err_value)
            return False
        self.state.incarnation = written.ok_value
        wait_s = LOAN_S if expected else LEASE_S
        self.state.share.joined(self.state.now(), wait_s, new=not expected)
        log_event(
            events.CATALOGUE.ROSTER_JOINED,
            new=not expected,
            incarnation=self.state.incarnation,
            active_in_s=wait_s,
        )
        return True

    async def keep(self) -> None:
        """Remove entries of hosts long gone until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            await self.remove_gone()

    async def remove_gone(self) -> None:
        """Remove what the first live host of the roster should remove."""
        now = self.state.now()
        alive = {peer.name for peer in self.state.peers.alive(now)}
        for name in alive & self.rows.keys():
            self.rows[name].seen_at = now
        if self.state.settings.name != min(alive | {self.state.settings.name}):
            return
        for name, row in tuple(self.rows.items()):
            is_own = name == self.state.settings.name
            if is_own or now - row.seen_at < GONE_S:
                continue
            write = Write(RowKey(ROSTER_TABLE, name), None, row.version)
            removed = await self.store.transact((write,))
            if isinstance(removed, Err):
                self.log_failure('remove', removed.err_value)
            else:
                log_event(events.CATALOGUE.ROSTER_REMOVED, peer=name)

    def replace(self, rows: tuple[StoredRow, ...]) -> None:
        """Take the whole roster."""
        present = {row.key for row in rows}
        for name in self.rows.keys() - present:
            self.rows.pop(name)
        for row in rows:
            self.put(row)

    def change(self, row: StoredRow) -> None:
        """Take a changed or removed entry."""
        if row.removed:
            self.rows.pop(row.key, None)
            return
        self.put(row)

    def proved(self, sent_at: float) -> None:
        """Apply the roster with the proof of its age."""
        before = self.state.share.members
        now = self.state.now()
        if self.state.share.read(self.rows, sent_at, now):
            self.state.peers.apply(
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

    def put(self, row: StoredRow) -> None:
        """Decode an entry; a damaged one counts as no host."""
        try:
            entry = msgspec.json.decode(row.content, type=RosterEntry)
        except msgspec.MsgspecError as error:
            self.rows.pop(row.key, None)
            log_event(
                events.CATALOGUE.ROW_MALFORMED,
                table=ROSTER_TABLE,
                key=row.key,
                detail=str(error),
            )
            return
        self.rows[row.key] = KnownRow(entry, row.version, self.state.now())

    def log_failure(self, action: str, failure: StoreFailure) -> None:
        """Log a call that had no result; it is tried again."""
        log_event(
            events.CATALOGUE.PLATFORM_LOST,
            table=ROSTER_TABLE,
            action=action,
            problem=failure.problem.value,
            detail=failure.detail,
        )
