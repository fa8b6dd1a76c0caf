"""Hosts while the store comes back from an older copy."""

import asyncio
import contextlib
import dataclasses

import pytest
from adapter.store import PlatformStore
from adapter.watches import make_watches
from result import Err
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.fleet.view import Topic
from egretmill.host.metrics import HostMetrics
from egretmill.host.event_loop import BootLoop
from egretmill.host.roster_keeper import RosterKeeper
from egretmill.host.roster_table import ROSTER_TABLE
from egretmill.host.settings import Endpoint
from egretmill.host.state import HostState
from egretmill.host.state_updater import StateUpdater
from egretmill.tables import PollTiming, PollTimings, RowKey, TableWatch, Write
from standins.tables import TableServer, make_application
from tests.host.fakes import DIALECT, SETTINGS
from tests.platform.test_rows import (
    CONFIGURATION,
    REGIONS,
    UPSTREAM,
    encode,
)

NO_WAIT = PollTimings.for_all_hosts(PollTiming(0))
#: Calls after which a host has the data of the store: one that fails, a whole
#: read, and one for changes.
STEPS = 3
OTHER_HOST = b'{"address":"10.0.0.2","port":7000,"known_by_all":true}'


def configuration(version, **changes):
    """Return the content of a configuration with a version."""
    return encode(CONFIGURATION, Version=f'{version:08x}', **changes)


HOST_SETTINGS = dataclasses.replace(SETTINGS, peer_port=7740)


class Host:
    """A host with its watches, which the test drives."""

    def __init__(self, endpoint):
        self.store = PlatformStore(endpoint, HostMetrics())
        self.state = HostState.from_settings(HOST_SETTINGS, DIALECT)
        self.updater = StateUpdater(self.state)
        self.keeper = RosterKeeper(self.state, self.store)
        self.watches = {
            **make_watches(self.store, self.updater, REGIONS),
            Topic.ROSTER: TableWatch(
                self.store, ROSTER_TABLE, self.keeper.table, PollTiming(0)
            ),
        }
        for watch in self.watches.values():
            watch.timings = NO_WAIT

    @property
    def view(self):
        """Return what the host knows."""
        return self.state.view

    async def read(self, steps=STEPS):
        """Make some calls for each table."""
        for _ in range(steps):
            for watch in self.watches.values():
                sent_at = watch.now()
                watch.apply_answer(await watch.fetch(), sent_at)

    def candidates(self):
        """Return the names of the upstreams that may get requests."""
        return [row.name for row in self.view.upstreams.candidates('x')]


class Operator:
    """Writes to the store as the operator and the upstreams do."""

    def __init__(self, server):
        self.server = server

    def configure(self, version, **changes):
        """Write a configuration."""
        self.server.put('op', 'config', configuration(version, **changes))

    def evacuate(self, domain):
        """Ask for an evacuation."""
        self.server.put('op', f'evacuate/{domain}', b'{}')

    def take_back(self, domain):
        """End an evacuation."""
        self.server.remove('op', f'evacuate/{domain}')

    def report(self, name, state='ready', sequence=4, **changes):
        """Write the report of an upstream."""
        status = {'State': state, 'Sequence': sequence}
        self.server.put(
            'servers', name, encode(UPSTREAM, Status=status, **changes)
        )

    def leave(self, name):
        """Remove the entry of an upstream."""
        self.server.remove('servers', name)


def run_with_store(scenario):
    """Run a scenario with a store, its operator and a way to start hosts."""

    async def serve():
        server = TableServer(era=1)
        listener, port = bind_unused_port()
        http = HTTPServer(make_application(server))
        http.add_socket(listener)
        endpoint = Endpoint('127.0.0.1', port)
        try:
            await scenario(server, Operator(server), lambda: Host(endpoint))
        finally:
            http.stop()

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        runner.run(serve())


@pytest.mark.parametrize('written_again', [1, 2, 3, 5])
def test_version_given_out_again_does_not_pass_for_the_copy(written_again):
    """Guards against a withdrawn key that still works after a restore."""

    async def scenario(server, operator, start_host):
        operator.configure(10)
        host = start_host()
        await host.read()
        saved = server.save()
        for number in range(3):
            operator.report(f'i-{number}')
        await host.read()
        server.restore(saved)
        operator.configure(11, Tenants=[])
        for number in range(1, written_again):
            operator.report(f'i-{number}', sequence=5)
        await host.read()
        assert host.view.version == 11
        assert 'k1' not in host.state.configuration.account_by_key

    run_with_store(scenario)


def test_return_of_the_store_confirms_the_configuration_at_once():
    """Guards against refusals until the versions have caught up."""

    async def scenario(server, operator, start_host):
        operator.configure(10)
        host = start_host()
        await host.read()
        saved = server.save()
        for number in range(30):
            operator.report(f'i-{number}')
        await host.read()
        server.restore(saved)
        returned_at = host.state.now()
        await host.read()
        confirmed_at = host.view.configuration_freshness.confirmed_at
        assert confirmed_at >= returned_at
        assert host.state.share.freshness.confirmed_at >= returned_at

    run_with_store(scenario)


def test_older_copy_undoes_nothing_that_was_in_force():
    """Guards against older data that is used until it is written again."""

    async def scenario(server, operator, start_host):
        operator.configure(10)
        operator.evacuate('east-a')
        for name in ('i-leaving', 'i-gone', 'i-stays'):
            operator.report(name)
        host = start_host()
        await host.read()
        saved = server.save()
        operator.configure(12, Tenants=[])
        operator.evacuate('west-a')
        operator.take_back('east-a')
        operator.report('i-leaving', 'draining', 5)
        operator.report('i-new')
        operator.leave('i-gone')
        await host.read()
        server.restore(saved)
        operator.report('i-other')
        await host.read(steps=5)
        assert host.view.version == 12
        assert host.view.evacuated == {'west-a'}
        assert host.candidates() == ['i-new', 'i-other', 'i-stays']

    run_with_store(scenario)


def test_evacuation_that_is_not_written_again_ends(monkeypatch):
    """Guards against upstreams that get no requests for good.

    The operator took it back, which was lost before this host read it.
    """
    monkeypatch.setattr('egretmill.tables.watch.SETTLE_S', 0.05)

    async def scenario(server, operator, start_host):
        operator.configure(10)
        host = start_host()
        saved = server.save()
        operator.evacuate('west-a')
        await host.read()
        operator.take_back('west-a')
        server.restore(saved)
        await host.read()
        assert host.view.evacuated == {'west-a'}
        await asyncio.sleep(0.06)
        await host.read()
        assert not host.view.evacuated

    run_with_store(scenario)


def test_whole_read_meanwhile_undoes_nothing():
    """Guards against a lost history soon after a return of the store."""

    async def scenario(server, operator, start_host):
        operator.configure(10)
        host = start_host()
        saved = server.save()
        operator.evacuate('west-a')
        server.put(ROSTER_TABLE, 'h2', OTHER_HOST)
        await host.read()
        server.restore(saved)
        await host.read()
        for watch in host.watches.values():
            watch.read_whole_now()
        await host.read()
        assert host.view.evacuated == {'west-a'}
        assert host.state.share.members == {'h2'}

    run_with_store(scenario)


def test_host_that_joined_again_stays_a_member():
    """Guards against a live host that is taken for one that was removed."""

    async def scenario(server, operator, start_host):
        host = start_host()
        server.put(ROSTER_TABLE, 'h2', OTHER_HOST)
        server.put(ROSTER_TABLE, 'h3', OTHER_HOST)
        await host.read()
        saved = server.save()
        server.remove(ROSTER_TABLE, 'h2')
        server.remove(ROSTER_TABLE, 'h3')
        await host.read()
        server.put(ROSTER_TABLE, 'h2', OTHER_HOST)
        await host.read()
        server.restore(saved)
        await host.read()
        assert host.state.share.members == {'h2'}
        await host.keeper.write_again()
        assert not server.version_of(ROSTER_TABLE, 'h3')

    run_with_store(scenario)


def test_entry_that_the_store_keeps_is_used_again(monkeypatch):
    """Guards against a live upstream that gets nothing after a return.

    Its entry had lapsed; the copy has it, so it is not written again.
    """
    monkeypatch.setattr('egretmill.tables.watch.SETTLE_S', 0.05)

    async def scenario(server, operator, start_host):
        operator.report('i-1')
        host = start_host()
        await host.read()
        saved = server.save()
        operator.leave('i-1')
        await host.read()
        server.restore(saved)
        await host.read()
        assert not host.candidates()
        await asyncio.sleep(0.06)
        await host.read()
        assert host.candidates() == ['i-1']

    run_with_store(scenario)


def test_second_return_undoes_nothing():
    """Guards against a memory of the first return that misleads the second."""

    async def scenario(server, operator, start_host):
        operator.configure(10)
        host = start_host()
        await host.keeper.join()
        saved = server.save()
        for version in (12, 14):
            operator.configure(version, Tenants=[])
            server.put(ROSTER_TABLE, 'h2', OTHER_HOST)
            operator.evacuate('west-a')
            operator.report('i-1')
            await host.read()
            server.restore(saved)
            await host.read()
            assert host.view.version == version
            assert host.view.evacuated == {'west-a'}
            assert host.candidates() == ['i-1']
            assert host.state.share.members == {SETTINGS.name, 'h2'}

    run_with_store(scenario)


def test_older_configuration_in_the_store_confirms_nothing():
    """Guards against a confirmation by a store that lacks the version."""

    async def scenario(server, operator, start_host):
        operator.configure(10)
        host = start_host()
        await host.read()
        saved = server.save()
        operator.configure(12)
        await host.read()
        server.restore(saved)
        returned_at = host.state.now()
        await host.read()
        freshness = host.view.configuration_freshness
        assert freshness.confirmed_at < returned_at
        operator.configure(12)
        await host.read()
        assert freshness.confirmed_at >= returned_at

    run_with_store(scenario)


def test_host_that_starts_after_a_return_gets_what_is_in_force():
    """Guards against a withdrawn key that works at a restarted host."""

    async def scenario(server, operator, start_host):
        operator.configure(10)
        host = start_host()
        await host.read()
        saved = server.save()
        operator.configure(12, Tenants=[])
        await host.read()
        confirmed_at = host.view.configuration_freshness.confirmed_at
        server.restore(saved)
        await host.read()
        restarted = start_host()
        await restarted.read()
        assert restarted.view.version == 10
        watch = restarted.watches[Topic.CONFIGURATION]
        copy = host.watches[Topic.CONFIGURATION].snapshot()
        assert watch.apply_copy(copy, confirmed_at, 'h2')
        await restarted.read()
        assert restarted.view.version == 12
        assert watch.snapshot().rows == copy.rows
        freshness = restarted.view.configuration_freshness
        assert freshness.confirmed_at == confirmed_at

    run_with_store(scenario)


def test_restarted_host_has_a_higher_incarnation_after_a_restore():
    """Guards against peers that ignore a host for its lower incarnation."""

    async def scenario(server, operator, start_host):
        saved = server.save()
        for number in range(9):
            operator.report(f'i-{number}')
        host = start_host()
        await host.keeper.join()
        server.restore(saved)
        restarted = start_host()
        await restarted.keeper.join()
        assert restarted.state.incarnation > host.state.incarnation

    run_with_store(scenario)


def test_hosts_keep_their_shares_while_the_roster_is_restored():
    """Guards against refusals and against shares that add up to too much."""

    async def scenario(server, operator, start_host):
        saved = server.save()
        host = start_host()
        await host.keeper.join()
        server.put(ROSTER_TABLE, 'h2', OTHER_HOST)
        await host.read()
        share = host.state.share
        share.active_at = 0
        assert share.fraction(host.state.now()) == pytest.approx(0.5)
        server.restore(saved)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await host.keeper.maintain()
        await host.read()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await host.keeper.maintain()
        await host.read()
        assert server.version_of(ROSTER_TABLE, SETTINGS.name)
        assert share.fraction(host.state.now()) == pytest.approx(0.5)

    run_with_store(scenario)


def test_condition_of_an_earlier_era_does_not_hold():
    """Guards against a write over a row that has the same number by chance."""

    async def scenario(server, operator, start_host):
        store = start_host().store
        saved = server.save()
        row = RowKey('t', 'a')
        version = (await store.transact((Write(row, b'1', 0),))).ok_value
        server.restore(saved)
        server.put('t', 'a', b'2')
        await store.read('t')
        written = await store.transact((Write(row, b'3', version),))
        assert isinstance(written, Err)
        assert server.rows['t', 'a'][0] == b'2'

    run_with_store(scenario)
