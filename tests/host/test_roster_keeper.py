"""The roster through silence, suspicion, removal and return of hosts."""

import asyncio
import types

import msgspec
from result import Err, Ok

from egretmill.fleet.knowledge import Topic
from egretmill.host.roster_keeper import (
    ROSTER_TABLE,
    SILENT_S,
    SUSPECTED_S,
    RosterEntry,
    RosterKeeper,
)
from egretmill.peers.beat import Beat
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
    """Rows of the roster in memory, with conditions."""

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
    """One host at the roster; its time is set by the test."""

    def __init__(self, store, name):
        self.state = make_state()
        self.time = NOW
        self.state.now = lambda: self.time
        self.state.share.host = name
        self.state.share.members = frozenset()
        self.state.share.proof.at = 0
        self.state.peers.host = name
        self.state.settings = types.SimpleNamespace(
            name=name,
            address='10.0.0.1',
            peer_port=PORT,
        )
        self.store = store
        self.keeper = RosterKeeper(self.state, store)

    def run(self, work):
        """Run one step and read the roster after it."""

        async def step():
            await work()
            read = await self.store.read(ROSTER_TABLE)
            return read.ok_value.rows

        self.keeper.replace_rows(asyncio.run(step()))
        self.keeper.confirm_current(self.time)

    async def read(self):
        """Only read the roster."""


def hosts(*names):
    """Return hosts that have joined and know of each other."""
    store = Store()
    made = [Host(store, name) for name in names]
    for host in made:
        host.run(host.keeper.join)
    for host in made:
        host.time += 1
        host.run(host.read)
    return made


def pass_time(made, seconds):
    """Let time pass for all."""
    for host in made:
        host.time += seconds


def test_cut_off_host_does_not_remove_hosts_that_live():
    """Guards against one host that hears nobody and empties the roster."""
    first, second = hosts('a', 'b')
    pass_time((first, second), SILENT_S)
    first.run(first.keeper.remove_gone)
    assert first.store.entry('b').suspected
    pass_time((first, second), 5)
    second.run(second.read)
    second.run(second.keeper.keep_own)
    pass_time((first, second), SUSPECTED_S)
    first.run(first.keeper.remove_gone)
    second.run(second.read)
    assert 'b' in first.store.rows
    assert second.state.share.fraction(second.time) > 0


def test_host_that_has_gone_is_removed():
    """Guards against a part of the rates that nobody uses for ever."""
    first, _ = hosts('a', 'b')
    for silence_s in (SILENT_S, SUSPECTED_S):
        first.time += silence_s
        first.run(first.keeper.remove_gone)
    assert set(first.store.rows) == {'a'}


def test_removed_host_joins_again_and_waits_for_the_lease():
    """Guards against a host that is never ready again after a long pause."""
    first, second = hosts('a', 'b')
    for silence_s in (SILENT_S, SUSPECTED_S):
        first.time += silence_s
        first.run(first.keeper.remove_gone)
    second.time = first.time
    second.run(second.read)
    assert second.state.share.fraction(second.time) == 0
    second.run(second.keeper.keep_own)
    assert 'b' in second.store.rows
    assert second.state.share.fraction(second.time) == 0
    second.time += ROSTER_LEASE_S + 1
    second.run(second.read)
    assert second.state.share.fraction(second.time) > 0


def test_own_entry_that_was_not_read_yet_is_no_removal():
    """Guards against joining again, with a shorter wait, before the read."""
    store = Store()
    host = Host(store, 'a')
    asyncio.run(host.keeper.join())
    version = store.rows['a'].version
    asyncio.run(host.keeper.keep_own())
    assert store.rows['a'].version == version


def test_suspicion_changes_the_digest():
    """Guards against peers that prove a roster without the suspicion."""
    first, second = hosts('a', 'b')
    second.run(second.read)
    assert first.state.digest(Topic.ROSTER) == second.state.digest(Topic.ROSTER)
    first.time += SILENT_S
    first.run(first.keeper.remove_gone)
    assert first.state.digest(Topic.ROSTER) != second.state.digest(Topic.ROSTER)


def test_host_that_is_heard_is_not_suspected():
    """Guards against suspecting a host by the age of its entry."""
    first, _ = hosts('a', 'b')
    first.time += SILENT_S
    beat = Beat('b', 2, '', '', '', True, 1, 0, 0, 0, 0, 0)
    first.state.peers.hear(beat, ('10.0.0.1', PORT), first.time)
    first.run(first.keeper.remove_gone)
    assert not first.store.entry('b').suspected
