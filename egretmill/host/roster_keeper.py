"""Maintains the own roster entry and removes those of dead hosts."""

import asyncio
import contextlib
import dataclasses
import math

import msgspec
from result import Err, Ok

from egretmill import events
from egretmill.host.roster_table import (
    ROSTER_TABLE,
    RosterEntry,
    RosterRow,
    RosterTable,
)
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.shares.loans import LOAN_S
from egretmill.shares.roster import ROSTER_LEASE_S
from egretmill.tables.ports import (
    RowKey,
    StoreFailure,
    TableStore,
    Write,
)

__all__ = ('ROSTER_TABLE', 'RosterKeeper')

#: A host is suspected to be dead after this time without heartbeats, in
#: seconds; well above a restart, in which it keeps its entry.
SUSPECT_AFTER_S = 15.0
#: The entry of a suspected host is removed after this time, in seconds. A
#: live host reads the roster and clears the suspicion well before.
REMOVE_AFTER_S = 15.0
CHECK_INTERVAL_S = 5.0
#: Pause between two attempts to write the own entry, in seconds.
JOIN_RETRY_S = 0.3


class RosterKeeper:
    """Writes the own entry, and removes those of dead hosts."""

    def __init__(self, state: HostState, store: TableStore) -> None:
        """Maintain the entry of the host with this state."""
        self.state = state
        self.store = store
        self.table = RosterTable(state)
        self.joined_at = math.inf

    async def join(self) -> None:
        """Write the own entry until stored; its version is the incarnation."""
        while True:
            read = await self.store.read(ROSTER_TABLE)
            if isinstance(read, Ok):
                self.table.replace_rows(read.ok_value)
                if await self.write_own_entry():
                    return
            await asyncio.sleep(JOIN_RETRY_S)

    async def write_own_entry(self) -> bool:
        """Try to write the own entry; return whether it is stored.

        A host whose earlier incarnation ended before the others had to know
        of it waits as long as a new one.
        """
        settings = self.state.settings
        previous = self.table.rows.get(settings.name)
        was_known = previous is not None and previous.entry.known_by_all
        entry = RosterEntry(
            settings.address,
            settings.peer_port,
            known_by_all=was_known,
            capacity_per_s=round(settings.capacity.requests_per_s, 1),
        )
        expected_version = self.table.row_versions.get(settings.name, 0)
        stored_version = await self.write_entry(
            settings.name, entry, expected_version, 'join'
        )
        if stored_version is None:
            return False
        self.state.incarnation = stored_version
        self.joined_at = self.state.now()
        activation_delay_s = LOAN_S if was_known else ROSTER_LEASE_S
        self.state.share.record_joined(
            self.state.now(),
            activation_delay_s,
            min_wait_s=LOAN_S if expected_version else 0,
        )
        log_event(
            events.CATALOGUE.ROSTER_JOINED,
            new=not expected_version,
            incarnation=self.state.incarnation,
            active_in_s=activation_delay_s,
        )
        return True

    async def write_entry(
        self,
        name: str,
        entry: RosterEntry,
        expected_version: int,
        action: str,
    ) -> int | None:
        """Write an entry; return its version, or log a failure."""
        write = Write(
            RowKey(ROSTER_TABLE, name),
            msgspec.json.encode(entry),
            expected_version,
        )
        written = await self.store.transact((write,))
        if isinstance(written, Err):
            self.log_store_failure(action, written.err_value)
            return None
        return written.ok_value

    async def maintain(self) -> None:
        """Maintain the roster until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.table.restored.wait()
            if self.table.restored.is_set():
                await self.write_again()
            await self.maintain_own_entry()
            await self.remove_dead_hosts()

    async def write_again(self) -> None:
        """Write again what the store has lost with its return from a copy.

        The own entry keeps its content: the other hosts count this one all
        the while, so it need not wait as one that joins.
        """
        own_name = self.state.settings.name
        own = self.table.rows.get(own_name)
        expected_version = self.table.row_versions.get(own_name, 0)
        is_done = own is None or own.version == expected_version
        if own is not None and not is_done:
            written = await self.write_entry(
                own_name, own.entry, expected_version, 'restore'
            )
            is_done = written is not None
        for name in tuple(self.table.revived):
            await self.remove_revived(name)
        if is_done:
            self.table.restored.clear()
        else:
            await asyncio.sleep(JOIN_RETRY_S)

    async def remove_revived(self, name: str) -> None:
        """Remove the entry of a host that was removed before, once."""
        self.table.revived.discard(name)
        now = self.state.now()
        if self.state.peers.is_alive(name, now) or not self.is_first_alive(now):
            return
        version = self.table.row_versions.get(name, 0)
        row = dataclasses.replace(
            self.table.removed_rows[name], version=version
        )
        await self.remove_entry(name, row)

    def is_first_alive(self, now: float) -> bool:
        """Return whether this host has the first name of the live ones."""
        own = self.state.settings.name
        live_names = {peer.name for peer in self.state.peers.live_peers(now)}
        return own == min(live_names | {own})

    async def maintain_own_entry(self) -> None:
        """Keep the entry of this host in line with its state.

        Clears a suspicion, records the end of the first wait, and joins again
        if the entry was removed. Another host removes the entry after a long
        time without heartbeats, for example when this one was suspended or
        partitioned from the others.
        """
        share = self.state.share
        own = self.table.rows.get(share.host)
        if own is None and share.freshness.confirmed_at > self.joined_at:
            await self.join()
        elif own is not None and own.entry.suspected:
            await self.set_suspected(share.host, own, suspected=False)
        elif own is not None and not own.entry.known_by_all:
            await self.record_known_by_all(own)

    async def record_known_by_all(self, own: RosterRow) -> None:
        """Record in the store that the first wait of this host has ended."""
        if self.state.now() < self.state.share.active_at:
            return
        entry = msgspec.structs.replace(own.entry, known_by_all=True)
        await self.write_entry(
            self.state.share.host, entry, own.version, 'record'
        )

    async def remove_dead_hosts(self) -> None:
        """Suspect hosts that send no heartbeats, then remove them.

        Only the live host with the first name does this. A host that receives
        no heartbeats may itself be partitioned, so it marks the others as
        suspected in the store and gives them time to clear the suspicion.
        """
        now = self.state.now()
        live_names = {peer.name for peer in self.state.peers.live_peers(now)}
        for name in live_names & self.table.rows.keys():
            self.table.rows[name].last_seen_at = now
        own = self.state.settings.name
        if not self.is_first_alive(now):
            return
        for name, row in tuple(self.table.rows.items()):
            if name != own:
                await self.check_missing_heartbeats(
                    name, row, now - row.last_seen_at
                )

    async def check_missing_heartbeats(
        self,
        name: str,
        row: RosterRow,
        since_seen_s: float,
    ) -> None:
        """Suspect a host without heartbeats, or remove a suspected one.

        :param since_seen_s: time since the host was last known to be alive.
        """
        if not row.entry.suspected:
            if since_seen_s >= SUSPECT_AFTER_S:
                await self.set_suspected(name, row, suspected=True)
        elif since_seen_s >= REMOVE_AFTER_S:
            await self.remove_entry(name, row)

    async def set_suspected(
        self, name: str, row: RosterRow, *, suspected: bool
    ) -> None:
        """Set or clear a suspicion, unless the entry has changed meanwhile."""
        entry = msgspec.structs.replace(row.entry, suspected=suspected)
        written = await self.write_entry(name, entry, row.version, 'mark')
        if written is None:
            return
        log_event(
            events.CATALOGUE.ROSTER_MARKED,
            host=name,
            suspected=suspected,
            silent_s=round(self.state.now() - row.last_seen_at, 1),
        )

    async def remove_entry(self, name: str, row: RosterRow) -> None:
        """Remove a suspected host, unless its entry has changed meanwhile."""
        write = Write(RowKey(ROSTER_TABLE, name), None, row.version)
        removed = await self.store.transact((write,))
        if isinstance(removed, Err):
            self.log_store_failure('remove', removed.err_value)
        else:
            log_event(events.CATALOGUE.ROSTER_REMOVED, peer=name)

    def log_store_failure(self, action: str, failure: StoreFailure) -> None:
        """Log a failed call, which is repeated later."""
        log_event(
            events.CATALOGUE.PLATFORM_LOST,
            table=ROSTER_TABLE,
            action=action,
            problem=failure.problem.value,
            detail=failure.detail,
        )
