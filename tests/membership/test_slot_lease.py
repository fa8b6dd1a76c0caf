"""Leases of share slots under lost answers, outages, pauses and restarts."""

import asyncio
import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from egretmill.membership.slot_lease import (
    SlotLeaseManager,
    SlotTiming,
    retire_host,
)
from egretmill.membership.slots import Holder, SlotLayout
from tests.fakes import FakeStore, FakeTable, Fault
from tests.virtual_time import run_virtual

TIMING = SlotTiming(lease_s=100)
STEP_S = 0.5
LONGEST_IDLE_S = 10


class Host:
    """A host that steps its slot keeper at intervals."""

    def __init__(self, table, name='a', incarnation=1, slots=1):
        """Start the host; its name determines its address."""
        self.name = name
        self.incarnation = incarnation
        self.inherited_slot = None
        self.after_step = None
        self.loop = asyncio.get_running_loop()
        self.store = FakeStore(table)
        self.keeper = SlotLeaseManager(
            self.store,
            Holder(name, f'10.0.0.{ord(name)}', incarnation),
            SlotLayout('south', 3, slots, 9),
            TIMING,
            self.loop.time,
            random.Random(incarnation),
        )
        self.task = asyncio.create_task(self.run())

    async def run(self):
        """Step until cancelled, also after a failed step."""
        while True:
            await self.store.wait_until_resumed()
            await self.keeper.step(self.loop.time())
            if self.after_step:
                self.after_step()
            idle_s = self.keeper.schedule.next_at - self.loop.time()
            await asyncio.sleep(min(max(idle_s, STEP_S), LONGEST_IDLE_S))

    def slot(self):
        """Return the slot that the host's entry program may use now.

        ``inherited_slot`` is the slot that the entry program has from an
        earlier run of the agent.
        """
        now = self.loop.time()
        if self.keeper.has_read_row or self.inherited_slot is None:
            return self.keeper.usable_slot(now)
        return (
            self.inherited_slot
            if now < self.inherited_slot.lease_until_at
            else None
        )

    def index(self):
        """Return the global index of the slot, ``None`` without one."""
        slot = self.slot()
        return slot.index if slot else None

    async def kill(self):
        """Stop the host without releasing its slot."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def fault_sequence(faults, last_fault):
    """Return a function that returns each fault, then always the last."""
    remaining = iter(faults)
    return lambda: dataclasses.replace(next(remaining, last_fault))


def in_virtual_time(test):
    """Run a test coroutine with a fresh table in virtual time."""

    def run():
        run_virtual(test(FakeTable()))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@in_virtual_time
async def test_slot_is_acquired_and_renewed(table):
    """Guards against a lease that ends although nothing fails."""
    host = Host(table)
    await asyncio.sleep(1)
    first = host.slot()
    assert (first.index, first.total) == (3, 9)
    await asyncio.sleep(1000)
    renewed = host.slot()
    assert renewed.acquired_at == first.acquired_at
    assert renewed.lease_until_at - host.loop.time() > 80
    # One renewal per tenth of the lease, one read and one write each.
    assert host.keeper.row_store.writes in range(95, 106)
    assert host.keeper.row_store.reads == host.keeper.row_store.writes


@in_virtual_time
async def test_second_host_waits_and_takes_a_released_slot(table):
    """Guards against waiting for the lease to end after a release."""
    host = Host(table)
    await asyncio.sleep(1)
    other = Host(table, 'b')
    await asyncio.sleep(10)
    assert other.slot() is None
    assert await host.keeper.release() == Ok(None)
    assert host.slot() is None
    await asyncio.sleep(3)
    assert other.index() == 3


@in_virtual_time
async def test_restarted_host_takes_over_at_once(table):
    """Guards against a restart that waits until the old lease has ended."""
    host = Host(table)
    await asyncio.sleep(1)
    await host.kill()
    restarted = Host(table, incarnation=2)
    await asyncio.sleep(1)
    assert restarted.index() == 3
    assert restarted.slot().acquired_at > host.slot().acquired_at


@in_virtual_time
async def test_crashed_host_is_replaced_after_its_lease(table):
    """Guards against a takeover before the lease has surely ended."""
    host = Host(table)
    await asyncio.sleep(1)
    other = Host(table, 'b')
    await asyncio.sleep(5)
    await host.kill()
    lease_until_at = host.slot().lease_until_at
    await asyncio.sleep(lease_until_at - host.loop.time())
    assert other.slot() is None
    await asyncio.sleep(30)
    assert other.index() == 3


@in_virtual_time
async def test_paused_host_has_no_slot_after_its_lease(table):
    """Guards against a host that resumes and uses a slot that it lost."""
    host = Host(table)
    await asyncio.sleep(1)
    other = Host(table, 'b')
    host.store.switches.paused_until = host.loop.time() + 300
    await asyncio.sleep(299)
    assert host.slot() is None
    assert other.index() == 3
    await asyncio.sleep(10)
    assert host.slot() is None
    assert other.index() == 3


@in_virtual_time
async def test_outage_shorter_than_the_lease_keeps_the_slot(table):
    """Guards against a slot lost in an outage shorter than the lease."""
    host = Host(table)
    await asyncio.sleep(1)
    host.store.switches.down = True
    reads_before = host.keeper.row_store.reads
    await asyncio.sleep(80)
    assert host.index() == 3
    # The backoff reaches 15 s, so few calls are made.
    assert host.keeper.row_store.reads - reads_before < 30
    host.store.switches.down = False
    await asyncio.sleep(16)
    assert host.slot().lease_until_at > host.loop.time() + 80


@in_virtual_time
async def test_lost_answer_is_read_back(table):
    """Guards against a slot that a host holds without knowing.

    The answer to the write that acquired it was lost.
    """
    host = Host(table)
    host.store.switches.lose_answers = 1
    await asyncio.sleep(3)
    assert host.index() == 3
    assert host.keeper.row_store.writes == 1


@in_virtual_time
async def test_late_write_is_recognised(table):
    """Guards against a lease counted from after its request was sent.

    A write that takes effect late is found by the next read of the row.
    """
    host = Host(table)
    faults = [Fault(), Fault(request_s=5)]
    host.store.next_fault = fault_sequence(faults, Fault(refused=True))
    started_at = host.loop.time()
    await asyncio.sleep(10)
    assert len(table.history) == 1
    host.store.next_fault = fault_sequence([Fault()], Fault(refused=True))
    await asyncio.sleep(15)
    assert host.index() == 3
    assert host.slot().lease_until_at < started_at + 1 + TIMING.lease_s
    assert host.slot().acquired_at > started_at + 10


@in_virtual_time
async def test_retired_holder_stops_at_its_next_renewal(table):
    """Guards against a holder that ignores `retire`."""
    host = Host(table)
    await asyncio.sleep(1)
    other = Host(table, 'b')
    await asyncio.sleep(1)
    assert await retire_host(FakeStore(table), 'south', 'a') == Ok(1)
    await asyncio.sleep(12)
    assert other.index() == 3
    assert host.slot() is None


@in_virtual_time
async def test_smaller_layout_removes_the_slot(table):
    """Guards against use of a slot that the document no longer has."""
    first, second = Host(table, slots=2), Host(table, 'b', slots=2)
    await asyncio.sleep(3)
    assert {first.index(), second.index()} == {3, 4}
    removed_host = first if first.index() == 4 else second
    removed_host.keeper.apply_layout(SlotLayout('south', 3, 1, 8))
    assert removed_host.slot() is None
    await asyncio.sleep(5)
    assert removed_host.slot() is None


@in_virtual_time
async def test_shorter_lease_applies_even_if_its_answer_is_lost(table):
    """Guards against a holder that still uses the longer lease.

    Other hosts read the shorter one from the row and take over earlier.
    """
    host = Host(table)
    await asyncio.sleep(1)
    host.keeper.timing = SlotTiming(lease_s=20)
    faults = [Fault(), Fault(lost=True)]
    host.store.next_fault = fault_sequence(faults, Fault(refused=True))
    await asyncio.sleep(12)
    assert len(table.history) == 2
    assert host.slot().lease_until_at <= host.loop.time() + 20


@in_virtual_time
async def test_agent_restart_in_an_outage_keeps_the_slot(table):
    """Guards against a share lost when the agent restarts in an outage."""
    host = Host(table)
    await asyncio.sleep(1)
    await host.kill()
    restarted = Host(table, incarnation=2)
    restarted.store.switches.down = True
    restarted.inherited_slot = host.slot()
    await asyncio.sleep(60)
    assert not restarted.keeper.has_read_row
    assert restarted.index() == 3
    restarted.store.switches.down = False
    await asyncio.sleep(20)
    assert restarted.keeper.has_read_row
    assert restarted.index() == 3


@in_virtual_time
async def test_release_in_an_outage(table):
    """Guards against a shutdown that waits for the platform."""
    host = Host(table)
    await asyncio.sleep(1)
    host.store.switches.down = True
    async with asyncio.timeout(5):
        assert (await host.keeper.release()).is_err()
    assert host.slot() is None


EVENTS = st.lists(
    st.tuples(
        st.sampled_from('abc'),
        st.sampled_from(
            (
                'pause',
                'down',
                'up',
                'restart',
                'agent',
                'release',
                'lose',
                'slow',
            ),
        ),
        st.sampled_from((0.3, 2, 9, 40, 90, 130)),
    ),
    min_size=3,
    max_size=14,
)


class Scenario:
    """Three hosts and two slots under a list of events."""

    def __init__(self, seed):
        """Start the hosts."""
        self.rng = random.Random(seed)
        self.table = FakeTable()
        self.overlaps = []
        self.hosts = {name: self.start_host(name, 1) for name in 'abc'}

    def start_host(self, name, incarnation):
        """Start a host with random faults of the store."""
        host = Host(self.table, name, incarnation, slots=2)
        host.store.next_fault = self.random_fault
        host.after_step = self.check
        return host

    def random_fault(self):
        """Return random delays and, at times, a refused or lost call."""
        return Fault(
            request_s=self.rng.choice((0.001, 0.01, 0.02, 0.3, 0.7, 3)),
            answer_s=self.rng.choice((0.001, 0.01, 0.02, 0.7)),
            refused=self.rng.randrange(10) == 0,
            lost=self.rng.randrange(5) == 0,
        )

    def check(self):
        """Record when two hosts may use the same slot.

        A host gains a slot only at the end of a step, so it is enough to
        check after each step.
        """
        holders = [host.index() for host in self.hosts.values()]
        held_indexes = [index for index in holders if index is not None]
        if len(held_indexes) != len(set(held_indexes)):
            self.overlaps.append((self.hosts['a'].loop.time(), holders))

    async def apply_event(self, name, event):
        """Apply one event to a host."""
        host = self.hosts[name]
        switches = host.store.switches
        match event:
            case 'pause':
                switches.paused_until = host.loop.time() + 150
            case 'down' | 'up':
                switches.down = event == 'down'
            case 'slow':
                switches.slow_s = 0.4 - switches.slow_s
            case 'lose':
                switches.lose_answers = 3
                switches.lose_reads = 3
            case 'release':
                await host.keeper.release()
            case 'restart' | 'agent':
                await host.kill()
                restarted = self.start_host(name, host.incarnation + 1)
                restarted.inherited_slot = (
                    host.slot() if event == 'agent' else None
                )
                restarted.store.switches = switches
                self.hosts[name] = restarted

    async def recover(self):
        """End all faults; check that all slots that can be used are used."""
        for host in self.hosts.values():
            host.store.next_fault = Fault
            host.store.switches.down = False
            host.store.switches.slow_s = 0
        await asyncio.sleep(450)
        hosts = self.hosts.values()
        candidates = [run for run in hosts if not run.keeper.released]
        holders = [run for run in candidates if run.slot()]
        assert len(holders) == min(len(candidates), 2)

    async def play(self, events):
        """Apply events, let all hosts recover, and check for overlaps."""
        await asyncio.sleep(5)
        for name, event, wait_s in events:
            await self.apply_event(name, event)  # noqa: WPS476 events in order
            await asyncio.sleep(wait_s)  # noqa: WPS476 events in order
        await self.recover()
        assert not self.overlaps
        assert not any(host.task.done() for host in self.hosts.values())


@pytest.mark.parametrize('seed', range(3))
def test_two_hosts_never_use_one_slot(seed):
    """Guards against a slot used by two hosts, or by none after recovery.

    Hosts pause, restart and release while calls to the store fail.
    """

    @settings(derandomize=True, max_examples=15, deadline=None)
    @given(EVENTS)
    def check(events):
        async def play():
            await Scenario(seed).play(events)

        run_virtual(play())

    check()
