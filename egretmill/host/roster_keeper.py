"""Keeps the own entry of the roster and removes those of hosts long gone."""

import asyncio
import dataclasses
import math

import msgspec
from result import Err, Ok

from egretmill import events
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.shares.loans import LOAN_S
from egretmill.shares.roster import ROSTER_LEASE_S
from egretmill.tables.ports import (
    RowKey,
    StoredRow,
    StoreFailure,
    TableStore,
    Write,
)

__all__ = ('ROSTER_TABLE', 'RosterKeeper')

ROSTER_TABLE = 'egretmill-roster'
#: A host that was silent for this time is suspected of having gone, in
#: seconds; well above a restart, which keeps its entry.
SILENT_S = 15.0
#: The entry of a suspected host is removed after this time, in seconds. A
#: host that lives reads the roster and clears the suspicion well before.
SUSPECTED_S = 15.0
CHECK_S = 5.0
#: Pause between two tries to write the own entry, in seconds.
RETRY_S = 0.3


class RosterEntry(msgspec.Struct, frozen=True):
    """Content of a row: where the host gets beats.

    :param suspected: another host has not heard of this one for long.
    """

    address: str
    port: int
    suspected: bool = False


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
        self.joined_at = math.inf

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
        self.joined_at = self.state.now()
        wait_s = LOAN_S if expected else ROSTER_LEASE_S
        self.state.share.record_joined(
            self.state.now(), wait_s, is_new=not expected
        )
        log_event(
            events.CATALOGUE.ROSTER_JOINED,
            new=not expected,
            incarnation=self.state.incarnation,
            active_in_s=wait_s,
        )
        return True

    async def keep(self) -> None:
        """Keep the roster in order until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            await self.keep_own()
            await self.remove_gone()

    async def keep_own(self) -> None:
        """Clear a suspicion; join again if the own entry was removed.

        Another host removes it after a long silence, as when this one was
        suspended or cut off from the others.
        """
        share = self.state.share
        own = self.rows.get(share.host)
        if own is None and share.proof.at > self.joined_at:
            await self.join()
        elif own is not None and own.entry.suspected:
            await self.mark(share.host, own, suspected=False)

    async def remove_gone(self) -> None:
        """Suspect silent hosts, then remove those that do not object.

        The first live host of the roster does it for all. A host that hears
        nobody may be the one that is cut off, so it asks through the store
        before it removes the others.
        """
        now = self.state.now()
        alive = {peer.name for peer in self.state.peers.alive(now)}
        for name in alive & self.rows.keys():
            self.rows[name].seen_at = now
        own = self.state.settings.name
        if own != min(alive | {own}):
            return
        for name, row in tuple(self.rows.items()):
            if name != own:
                await self.check_silent(name, row, now - row.seen_at)

    async def check_silent(
        self,
        name: str,
        row: KnownRow,
        silence_s: float,
    ) -> None:
        """Suspect a silent host, or remove one that has not objected."""
        if not row.entry.suspected:
            if silence_s >= SILENT_S:
                await self.mark(name, row, suspected=True)
        elif silence_s >= SUSPECTED_S:
            await self.remove(name, row)

    async def mark(self, name: str, row: KnownRow, *, suspected: bool) -> None:
        """Write or clear a suspicion unless the entry has changed."""
        entry = RosterEntry(row.entry.address, row.entry.port, suspected)
        content = msgspec.json.encode(entry)
        write = Write(RowKey(ROSTER_TABLE, name), content, row.version)
        written = await self.store.transact((write,))
        if isinstance(written, Err):
            self.log_failure('mark', written.err_value)
            return
        log_event(
            events.CATALOGUE.ROSTER_MARKED,
            host=name,
            suspected=suspected,
            silent_s=round(self.state.now() - row.seen_at, 1),
        )

    async def remove(self, name: str, row: KnownRow) -> None:
        """Remove the entry of a suspected host."""
        write = Write(RowKey(ROSTER_TABLE, name), None, row.version)
        removed = await self.store.transact((write,))
        if isinstance(removed, Err):
            self.log_failure('remove', removed.err_value)
        else:
            log_event(events.CATALOGUE.ROSTER_REMOVED, peer=name)

    def replace_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take the whole roster."""
        present = {row.key for row in rows}
        for name in self.rows.keys() - present:
            self.rows.pop(name)
        for row in rows:
            self.put(row)

    def apply_change(self, row: StoredRow) -> None:
        """Take a changed or removed entry."""
        if row.removed:
            self.rows.pop(row.key, None)
            return
        self.put(row)

    def confirm_current(self, sent_at: float) -> None:
        """Apply the roster with the proof of its age."""
        before = self.state.share.members
        self.state.suspects = frozenset(
            name for name, row in self.rows.items() if row.entry.suspected
        )
        now = self.state.now()
        if self.state.share.apply_roster(self.rows, sent_at, now):
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
