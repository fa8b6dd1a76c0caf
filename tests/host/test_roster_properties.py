"""Shares of a rate under any order of silence, removal and return."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.peers.datagrams import Heartbeat
from egretmill.host.roster_keeper import SUSPECT_AFTER_S
from tests.host.test_roster_keeper import PORT, Host, Store

NAMES = ('a', 'b', 'c')
#: Tolerated rounding error of the sum of shares.
ROUNDING = 1e-9

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('pass'), st.sampled_from((0.3, 2, 5))),
        st.tuples(st.just('read'), st.sampled_from(NAMES)),
        st.tuples(
            st.sampled_from(('start', 'keep', 'lose')),
            st.sampled_from(NAMES),
        ),
    ),
    min_size=15,
    max_size=40,
)


class Fleet:
    """Three hosts that share one clock and one store."""

    def __init__(self):
        self.store = Store()
        self.time = 1000.0
        self.hosts = {}

    def start(self, name):
        """Start or restart a host, which joins the roster."""
        host = Host(self.store, name)
        host.state.now = lambda: self.time
        asyncio.run(host.keeper.join())
        self.hosts[name] = host

    def remove_unreachable(self, name):
        """Let the others remove a host from which they get no heartbeats."""
        others = [host for host in self.hosts if host != name]
        for _ in range(2):
            self.time += SUSPECT_AFTER_S
            for receiver in others:
                for sender in others:
                    self.deliver_heartbeat(receiver, sender)
                self.run('remove', self.hosts[receiver])

    def play(self, step, subject):
        """Run one step."""
        match step:
            case 'pass':
                self.time += subject
            case 'start':
                self.start(subject)
            case 'lose':
                self.remove_unreachable(subject)
            case _ if subject in self.hosts:
                self.run(step, self.hosts[subject])

    def run(self, step, host):
        """Let a host read or maintain the roster."""
        action_by_step = {
            'read': host.read,
            'keep': host.keeper.maintain_own_entry,
            'remove': host.keeper.remove_dead_hosts,
        }
        host.time = self.time
        host.run(action_by_step[step])

    def deliver_heartbeat(self, receiver, sender):
        """Deliver a heartbeat from one host to another."""
        if receiver == sender:
            return
        heartbeat = Heartbeat(
            sender, 1, '', '', '', True, self.time, 0, 0, 0, 0, 0
        )
        peers = self.hosts[receiver].state.peers
        peers.record_heartbeat(heartbeat, ('10.0.0.1', PORT), self.time)

    def used(self):
        """Return the sum of the shares that all hosts use."""
        return sum(
            host.state.share.fraction(self.time) for host in self.hosts.values()
        )


@settings(max_examples=500, deadline=None, derandomize=True)
@given(STEPS)
def test_parts_never_exceed_one_whole(steps):
    """Guards against a rate that a removed and a remaining host both use."""
    fleet = Fleet()
    for step, subject in steps:
        fleet.play(step, subject)
        assert fleet.used() <= 1 + ROUNDING


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_all_hosts_have_a_part_again_after_any_steps(steps):
    """Guards against a host that is never ready again."""
    fleet = Fleet()
    for step, subject in steps:
        fleet.play(step, subject)
    for _ in range(3):
        for host in fleet.hosts.values():
            fleet.run('read', host)
            fleet.run('keep', host)
        fleet.time += 5
    for host in fleet.hosts.values():
        fleet.run('read', host)
        assert host.state.share.fraction(fleet.time) > 0
