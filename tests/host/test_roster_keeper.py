"""The roster when hosts are unreachable, suspected, removed, and return."""

import asyncio
import types

import msgspec
from result import Err, Ok

from egretmill.fleet.view import Topic
from egretmill.host.capacity import Capacity
from egretmill.host.roster_keeper import (
    SUSPECT_AFTER_S,
    REMOVE_AFTER_S,
    RosterKeeper,
)
from egretmill.host.roster_table import ROSTER_TABLE, RosterEntry
from egretmill.peers.datagrams import Heartbeat
from egretmill.shares.loans import LOAN_S
from egretmill.shares.roster import ROSTER_LEASE_S
from egretmill.tables import (
    Snapshot,
    StoredRow,
    StoreFailure,
    StoreProblem,
)
from tests.host.fakes import make_state

NOW = 1000.0
PORT = 7740


class Store:
    """In-memory roster table with conditional writes."""

    def __init__(self):
        self.rows = {}
        self.version = 0

    async def read(self, table):
        """Return the roster."""
        assert table == ROSTER_TABLE
        return Ok(Snapshot(tuple(self.rows.values()), self.version))

    async def transact(self, writes):
        """Apply one write if its condition holds."""
        write = writes[0]
        key = write.row.key
        known = self.rows[key].version if key in self.rows else 0
        if known != write.expected_version:
            return Err(StoreFailure(StoreProblem.CONFLICT, 'changed'))
        self.version += 1
        if write.content is None:
            self.rows.pop(key)
        else:
            self.rows[key] = StoredRow(key, write.content, self.version)
        return Ok(self.version)

    def entry(self, name):
        """Return the entry of a host."""
        return msgspec.json.decode(self.rows[name].content, type=RosterEntry)


class Host:
    """A host with a roster keeper; the test sets its clock."""

    def __init__(self, store, name):
        self.state = make_state()
        self.time = NOW
        self.state.now = lambda: self.time
        self.state.share.host = name
        self.state.share.members = frozenset()
        self.state.share.freshness.confirmed_at = 0
        self.state.peers.host = name
        self.state.settings = types.SimpleNamespace(
            name=name,
            address='10.0.0.1',
            peer_port=PORT,
            capacity=Capacity(),
        )
        self.store = store
        self.keeper = RosterKeeper(self.state, store)

    def run(self, action):
        """Run an action, then read the roster."""

        async def step():
            await action()
            read = await self.store.read(ROSTER_TABLE)
            return read.ok_value

        self.keeper.table.replace_rows(asyncio.run(step()))
        self.keeper.table.confirm_current(self.time)

    async def read(self):
        """Do nothing, so that only the roster is read."""


def hosts(*names):
    """Return hosts that have joined and read each other's entries."""
    store = Store()
    joined_hosts = [Host(store, name) for name in names]
    for host in joined_hosts:
        host.run(host.keeper.join)
    for host in joined_hosts:
        host.time += 1
        host.run(host.read)
    return joined_hosts


def advance_time(joined_hosts, seconds):
    """Advance the clocks of all hosts."""
    for host in joined_hosts:
        host.time += seconds


def test_partitioned_host_does_not_remove_live_hosts():
    """Guards against a partitioned host that removes all others."""
    first, second = hosts('a', 'b')
    advance_time((first, second), SUSPECT_AFTER_S)
    first.run(first.keeper.remove_dead_hosts)
    assert first.store.entry('b').suspected
    advance_time((first, second), 5)
    second.run(second.read)
    second.run(second.keeper.maintain_own_entry)
    advance_time((first, second), REMOVE_AFTER_S)
    first.run(first.keeper.remove_dead_hosts)
    second.run(second.read)
    assert 'b' in first.store.rows
    assert second.state.share.fraction(second.time) > 0


def test_dead_host_is_removed():
    """Guards against a share of the rates that stays with a dead host."""
    first, _ = hosts('a', 'b')
    for elapsed_s in (SUSPECT_AFTER_S, REMOVE_AFTER_S):
        first.time += elapsed_s
        first.run(first.keeper.remove_dead_hosts)
    assert set(first.store.rows) == {'a'}


def test_removed_host_joins_again_and_waits_for_the_lease():
    """Guards against a host that is never ready again after a long pause."""
    first, second = hosts('a', 'b')
    for elapsed_s in (SUSPECT_AFTER_S, REMOVE_AFTER_S):
        first.time += elapsed_s
        first.run(first.keeper.remove_dead_hosts)
    second.time = first.time
    second.run(second.read)
    assert second.state.share.fraction(second.time) == 0
    second.run(second.keeper.maintain_own_entry)
    assert 'b' in second.store.rows
    assert second.state.share.fraction(second.time) == 0
    second.time += ROSTER_LEASE_S + 1
    second.run(second.read)
    assert second.state.share.fraction(second.time) > 0


def test_own_entry_that_was_not_read_yet_does_not_count_as_removed():
    """Guards against a host that joins again before it has read its own entry.

    It would then wait for a shorter time.
    """
    store = Store()
    host = Host(store, 'a')
    asyncio.run(host.keeper.join())
    version = store.rows['a'].version
    asyncio.run(host.keeper.maintain_own_entry())
    assert store.rows['a'].version == version


def test_suspicion_changes_the_digest():
    """Guards against peers that confirm a roster without the suspicion."""
    first, second = hosts('a', 'b')
    second.run(second.read)
    assert first.state.digest(Topic.ROSTER) == second.state.digest(Topic.ROSTER)
    first.time += SUSPECT_AFTER_S
    first.run(first.keeper.remove_dead_hosts)
    assert first.state.digest(Topic.ROSTER) != second.state.digest(Topic.ROSTER)


def test_live_host_is_not_suspected():
    """Guards against suspecting a live host because its entry is old."""
    first, _ = hosts('a', 'b')
    first.time += SUSPECT_AFTER_S
    heartbeat = Heartbeat('b', 2, '', '', '', True, 1, 0, 0, 0, 0, 0)
    first.state.peers.record_heartbeat(
        heartbeat, ('10.0.0.1', PORT), first.time
    )
    first.run(first.keeper.remove_dead_hosts)
    assert not first.store.entry('b').suspected


def restart(host):
    """Return the next incarnation of a host, which joins the roster."""
    restarted = Host(host.store, host.state.share.host)
    restarted.time = host.time
    restarted.run(restarted.keeper.join)
    return restarted


def test_restart_before_the_others_know_the_host_waits_for_their_lease():
    """Guards against shares of a rate that add up to more than one.

    Another host may divide the rate without the new host for a whole lease.
    """
    store = Store()
    first = Host(store, 'a')
    first.run(first.keeper.join)
    restarted = restart(first)
    restarted.time += LOAN_S + 1
    restarted.run(restarted.read)
    assert restarted.state.share.fraction(restarted.time) == 0


def test_restart_of_a_known_host_waits_for_its_loans_only():
    """Guards against seconds of refusals after each restart."""
    first, _ = hosts('a', 'b')
    first.time += ROSTER_LEASE_S + 1
    first.run(first.keeper.maintain_own_entry)
    restarted = restart(first)
    restarted.time += LOAN_S + 1
    restarted.run(restarted.read)
    assert restarted.state.share.fraction(restarted.time) > 0


def test_suspicion_keeps_the_record_of_the_first_wait():
    """Guards against a long wait after each suspicion of a restarted host."""
    first, second = hosts('a', 'b')
    advance_time((first, second), SUSPECT_AFTER_S)
    second.run(second.keeper.maintain_own_entry)
    first.run(first.read)
    advance_time((first, second), SUSPECT_AFTER_S)
    first.run(first.keeper.remove_dead_hosts)
    entry = first.store.entry('b')
    assert entry.suspected
    assert entry.known_by_all
