"""An idempotency key runs at most once, whatever the order of faults."""

import asyncio
import collections
import contextlib
import random
from types import MappingProxyType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.wire.messages import StoredAnswer
from tests.fakes import FakeTable, Fault
from tests.ledger.support import Fleet, claim, in_turn, record
from tests.virtual_time import run_virtual

HOSTS = 'abc'
KEYS = ('k1', 'k2')
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'request',
                'request',
                'request',
                'other body',
                'restart host',
                'restart agent',
                'restart entry',
                'down',
                'slow',
                'lose',
                'pause',
                'clear',
            ),
        ),
        st.sampled_from(HOSTS),
        st.sampled_from(KEYS),
        st.sampled_from((0, 0.001, 0.01, 0.4, 2)),
    ),
    min_size=4,
    max_size=16,
)
SWITCHES = MappingProxyType(
    {
        'down': {'down': True},
        'slow': {'slow_s': 0.45},
        'lose': {'lose_answers': 2, 'lose_reads': 3},
        'clear': {
            'down': False,
            'slow_s': 0,
            'lose_answers': 0,
            'lose_reads': 0,
        },
    },
)
RESTARTS = frozenset(('restart host', 'restart agent', 'restart entry'))


class Host:
    """One host: its claim service and the run of its entry program."""

    def __init__(self, fleet, name, next_fault):
        """Start the first run of both programs."""
        self.fleet = fleet
        self.name = name
        self.next_fault = next_fault
        self.entry_run = 1
        self.incarnation = 0
        self.service = None
        self.start_agent()

    def start_agent(self):
        """Start a run of the agent, keeping the active faults."""
        switches = self.switches if self.incarnation else None
        self.incarnation += 1
        self.service = self.fleet.start(
            self.name,
            self.incarnation,
            self.next_fault,
        )
        if switches:
            self.fleet.stores[self.name].switches = switches

    @property
    def switches(self):
        """Return the fault switches of the host."""
        return self.fleet.stores[self.name].switches

    async def restart_agent(self):
        """Close the agent immediately and start it again."""
        await self.service.close()
        self.start_agent()

    async def apply_event(self, event):
        """Apply one event."""
        match event:
            case 'restart host':
                self.entry_run += 1
                await self.restart_agent()
            case 'restart agent':
                await self.restart_agent()
            case 'restart entry':
                self.entry_run += 1
                self.service.handle_entry_exit(self.entry_run)
            case 'pause':
                now = asyncio.get_running_loop().time()
                self.switches.paused_until = now + 3
            case _ if event in SWITCHES:
                self.switch(**SWITCHES[event])

    def switch(self, **values):
        """Set fault switches of the host."""
        for name, value in values.items():
            setattr(self.switches, name, value)


class Scenario:
    """Requests, faults and restarts over one table."""

    def __init__(self, seed):
        """Start three hosts."""
        self.rng = random.Random(seed)
        self.faults_ended = False
        fleet = Fleet(FakeTable())
        self.hosts = {
            name: Host(fleet, name, self.random_fault) for name in HOSTS
        }
        self.executions = collections.Counter()
        self.answers = {}
        self.violations = []

    def random_fault(self):
        """Return random delays and sometimes a lost answer."""
        if self.faults_ended:
            return Fault()
        return Fault(
            request_s=self.rng.choice((0.001, 0.002, 0.01, 0.2, 0.7, 3)),
            answer_s=self.rng.choice((0.001, 0.002, 0.01, 0.6)),
            lost=self.rng.randrange(8) == 0,
        )

    async def request(self, host, key, digest='d1'):
        """Serve one request as the entry program does."""
        run = host.entry_run
        message = claim(key, digest, self.rng.choice((0.3, 1, 4)), run)
        decision = None
        with contextlib.suppress(TimeoutError):
            decision = await asyncio.wait_for(
                host.service.claim(message),
                message.timeout_s + 0.1,
            )
        if host.entry_run != run:
            return
        if decision is None:
            await self.record(host, run, record(message, 'released'))
        elif decision.status == 'granted':
            await self.execute(host, run, message)
        elif decision.status == 'repeat':
            self.check_repeat(key, decision)

    async def execute(self, host, run, message):
        """Run a granted request, or release its claim without running it."""
        key = message.idempotency_key
        outcome = self.rng.choice(('done', 'done', 'done', 'released'))
        await asyncio.sleep(self.rng.choice((0, 0.01, 0.8)))
        if host.entry_run != run:
            return
        answer = StoredAnswer(200, (), message.attempt_id.encode())
        if outcome == 'done':
            self.executions[key] += 1
            self.answers[key] = answer
            await asyncio.sleep(self.rng.choice((0, 0.01, 2)))
        await self.record(host, run, record(message, outcome, answer))

    async def record(self, host, run, message):
        """Record until it is acknowledged, as the contract requires."""
        while host.entry_run == run:
            recorded = await host.service.record(message)
            if recorded.is_ok():
                return
            if recorded.err_value.kind == 'version_conflict':
                self.violations.append(('record refused', message))
                return
            await asyncio.sleep(0.2)

    def check_repeat(self, key, decision):
        """Report a repeat whose answer differs from the first one."""
        if decision.answer != self.answers.get(key):
            self.violations.append(('other answer', key, decision))

    async def play(self, events):
        """Apply events, end the faults, then check every key."""
        requests = []
        for event, name, key, delay_s in events:
            host = self.hosts[name]
            if event in {'request', 'other body'}:
                digest = 'd2' if event == 'other body' else 'd1'
                requests.append(
                    asyncio.create_task(self.request(host, key, digest)),
                )
            await host.apply_event(event)  # noqa: WPS476 events in order
            await asyncio.sleep(delay_s)  # noqa: WPS476 events in order
        await self.recover(requests)
        had_restart = bool(RESTARTS & {entry[0] for entry in events})
        await in_turn(
            self.check_final_decisions(final_key, had_restart)
            for final_key in KEYS
        )
        assert not self.violations
        assert all(count <= 1 for count in self.executions.values())

    async def recover(self, requests):
        """End the faults and wait until all hosts have recovered."""
        self.faults_ended = True
        for host in self.hosts.values():
            host.switch(**SWITCHES['clear'])
        await asyncio.gather(*requests)
        await asyncio.sleep(30)

    async def check_final_decisions(self, key, had_restart):
        """Claim a key at every host after all requests have ended."""
        decisions = await in_turn(
            host.service.claim(claim(key, timeout_s=1))
            for host in self.hosts.values()
        )
        statuses = [decision.status for decision in decisions]
        for decision in decisions:
            if decision.status == 'repeat':
                self.check_repeat(key, decision)
        if statuses[0] == 'granted':
            assert not self.executions[key]
            return
        expected = {'repeat', 'mismatch'}
        if had_restart:
            expected.add('owner_lost')
        assert set(statuses) <= expected
        assert len(set(statuses)) == 1


@pytest.mark.parametrize('seed', range(3))
def test_a_key_runs_at_most_once(seed):
    """Guards against a second execution, or a key stuck after faults."""

    @settings(derandomize=True, max_examples=120, deadline=None)
    @given(EVENTS)
    def check(events):
        async def play():
            await Scenario(seed).play(events)

        run_virtual(play())

    check()
