"""Fault matrix of membership: every fault at every step of a host's life.

Run as ``python -m bench.membership_matrix``. Host ``a`` runs the real
aggregates and watches host ``b`` in virtual time. The fault lasts from 0 s
to 5 s. A cell tells when ``b`` entered (+) and left (-) the look-ups of
``a`` and the largest age of the confirmation of ``a``. A cell fails when
``b`` is named for too long while it cannot be used, or is left out for too
long while it can, or when the confirmation covers a time at which another
version was in force.
"""

import dataclasses
import functools
import sys

from egretmill.membership.confirmation import Confirmation
from egretmill.membership.peers import Peers
from egretmill.wire.messages import Heartbeat, HostRecord

__all__ = ('FAULTS', 'STEPS', 'matrix_text', 'run_cell')

TICK_S = 0.1
ANSWER_DEADLINE_TICKS = 4
POLL_TICKS = 5
BEGIN_TICK = -80
FAULT_END_TICK = 50
END_TICK = 120
PROMOTION_TICK = 20
LIST_LAG_TICKS = 30
SLOTS = 2
# 1.5 s of missed heartbeats (design page, section 11) and the interval of
# 0.5 s at whose end the last answer may have come.
MAX_NAMED_TICKS = 20
# Two intervals: a silent host may have two addresses, asked in turn.
MAX_LEFT_OUT_TICKS = 11
#: Largest age while the platform answers: one poll and its deadline.
MAX_AGE_S = 1.0
#: Largest age under the outage rule: hosts are silent after 1 s, which is
#: seen at the next heartbeat.
MAX_OUTAGE_AGE_S = 2.1
OLD_ADDRESS = '127.0.0.2'
NEW_ADDRESS = '127.0.0.3'


@dataclasses.dataclass(slots=True)
class World:
    """Truth about host ``b``, the links and the platform."""

    running: bool = False
    paused: bool = False
    agent_up: bool = True
    leaving: bool = False
    listed: bool = False
    incarnation: int = 0
    address: str = OLD_ADDRESS
    listed_address: str = OLD_ADDRESS
    link_to_b: bool = True
    link_from_b: bool = True
    list_stale: bool = False
    list_empty: bool = False
    platform_for_a: bool = True
    platform_for_b: bool = True
    may_start: bool = True
    moved_tick: int = END_TICK
    version: int = 1
    promoted_tick: int = END_TICK

    def start(self) -> None:
        """Start the program of ``b``."""
        if self.may_start:
            self.running = True
            self.leaving = False
            self.incarnation += 1

    def host_list(self) -> tuple[HostRecord, ...]:
        """Return the platform's host list."""
        if self.list_empty or not self.listed:
            return ()
        address = self.listed_address
        state = 'leaving' if self.leaving else 'live'
        return (HostRecord('b', 'fd', address, 1, 2, 3, 4, state),)

    def answers(self) -> bool:
        """Tell whether the agent of ``b`` runs."""
        return self.running and self.agent_up and not self.paused

    def usable(self) -> bool:
        """Tell whether callers should be sent to ``b``, as ``a`` sees it."""
        linked = self.link_to_b and self.link_from_b
        return self.answers() and linked and not self.leaving


def kill(world: World) -> None:
    """End the program for good."""
    world.running = False
    world.may_start = False


def restart(world: World) -> None:
    """End the program and start it at the same address."""
    world.listed = True
    world.start()


def replace(world: World) -> None:
    """Start the program at another address; the list learns of it later."""
    world.address = NEW_ADDRESS
    world.listed = True
    world.moved_tick = LIST_LAG_TICKS
    world.start()


def lose_agent(world: World) -> None:
    """End the agent of ``b``; its restart is another incarnation."""
    world.agent_up = False


def regain_agent(world: World) -> None:
    """Start the agent of ``b`` again."""
    world.agent_up = True
    world.incarnation += 1


def set_fields(world: World, **values: bool) -> None:
    """Set fields of the world."""
    for name, value in values.items():
        setattr(world, name, value)


NOTHING = set_fields
#: Begin and end of each fault.
FAULTS = {
    'none': (NOTHING, NOTHING),
    'killed': (kill, NOTHING),
    'paused': (
        functools.partial(set_fields, paused=True),
        functools.partial(set_fields, paused=False),
    ),
    'cut to it': (
        functools.partial(set_fields, link_to_b=False),
        functools.partial(set_fields, link_to_b=True),
    ),
    'cut from it': (
        functools.partial(set_fields, link_from_b=False),
        functools.partial(set_fields, link_from_b=True),
    ),
    'cut both ways': (
        functools.partial(set_fields, link_to_b=False, link_from_b=False),
        functools.partial(set_fields, link_to_b=True, link_from_b=True),
    ),
    'list stale': (
        functools.partial(set_fields, list_stale=True),
        functools.partial(set_fields, list_stale=False),
    ),
    'list empty': (
        functools.partial(set_fields, list_empty=True),
        functools.partial(set_fields, list_empty=False),
    ),
    'restarted': (restart, NOTHING),
    'replaced': (replace, NOTHING),
    'agent lost': (lose_agent, regain_agent),
    'platform out': (
        functools.partial(
            set_fields, platform_for_a=False, platform_for_b=False
        ),
        functools.partial(set_fields, platform_for_a=True, platform_for_b=True),
    ),
    'platform out for a': (
        functools.partial(set_fields, platform_for_a=False),
        functools.partial(set_fields, platform_for_a=True),
    ),
}
#: Ticks at which ``b`` is listed, starts, leaves and is gone. The fault
#: begins at tick 0.
STEPS = {
    'listed': (-10, 10, END_TICK, END_TICK),
    'first heartbeat': (-10, 0, END_TICK, END_TICK),
    'steady': (-60, -50, END_TICK, END_TICK),
    'leaving': (-60, -50, -3, 40),
    'gone': (-70, -60, -50, -3),
}


class Observer:
    """Host ``a``: the aggregates and what they saw of the world."""

    def __init__(self) -> None:
        """Hold share slot 0."""
        self.peers = Peers('a')
        self.confirmation = Confirmation('a')
        self.pending: list[tuple[int, str]] = []
        self.list_seen: set[str] = set()
        own = Heartbeat('a', 1, 0, 0, 0, False, True, 0)
        self.confirmation.holders.receive_heartbeat(own, BEGIN_TICK * TICK_S)

    def tick(self, world: World, tick: int) -> None:
        """Poll the platform, send heartbeats and take answers."""
        now = tick * TICK_S
        if tick % POLL_TICKS == 0 and world.platform_for_a:
            self.poll(world, now)
        for name in self.peers.schedule_heartbeats(now):
            self.ask(world, name, tick)
        late = [host for due, host in self.pending if due <= tick]
        for host in late:
            self.peers.record_missed_heartbeat(host, now)
        self.pending = [item for item in self.pending if item[0] > tick]
        if tick % POLL_TICKS == 3 and world.answers() and world.link_from_b:
            beat = beat_of(world, tick)
            self.peers.receive_heartbeat(beat, None, now)
            self.confirmation.receive_heartbeat(beat, None, now)
        self.apply(now)

    def poll(self, world: World, now: float) -> None:
        """Read version, slots and host list."""
        self.confirmation.record_platform_read(world.version, now, now)
        holder = 'b' if world.running else None
        self.confirmation.holders.record_rows({0: 'a', 1: holder}, now)
        if not world.list_stale:
            self.peers.apply_host_list(world.host_list(), now)
            self.list_seen = {row.address for row in world.host_list()}

    def ask(self, world: World, name: str, tick: int) -> None:
        """Send one heartbeat; it is answered at once or never."""
        now = tick * TICK_S
        arrived = world.link_to_b and world.link_from_b and world.answers()
        if arrived and self.peers.host_record(name).address == world.address:
            beat = beat_of(world, tick)
            self.peers.receive_heartbeat(beat, now, now, requested_host=name)
            self.confirmation.receive_heartbeat(beat, now, now)
            return
        self.pending.append((tick + ANSWER_DEADLINE_TICKS, name))

    def apply(self, now: float) -> None:
        """Put the newest version in force and apply the outage rule."""
        self.confirmation.apply_version(self.confirmation.newest_version, now)
        states = self.peers.states(now)
        self.confirmation.apply_outage_rule(states, SLOTS, now)

    def names_b(self, tick: int) -> bool:
        """Tell whether look-ups name ``b``."""
        return any(
            state.reachable and state.entry_ready and not state.leaving
            for state in self.peers.states(tick * TICK_S)
        )


def beat_of(world: World, tick: int) -> Heartbeat:
    """Return the heartbeat of ``b``."""
    outage_s = 0.0 if world.platform_for_b else tick * TICK_S
    return Heartbeat(
        'b',
        world.incarnation,
        world.version if world.platform_for_b else 1,
        outage_s,
        outage_s,
        world.leaving,
        entry_ready=True,
        slot_index=1,
    )


@dataclasses.dataclass(slots=True)
class Verdict:
    """What a cell shows, and the bounds that it breaks."""

    trace: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    named: bool = False
    wrong_ticks: int = 0
    age_s: float = 0.0

    def note(self, observer: Observer, world: World, tick: int) -> None:
        """Compare what the observer knows with the truth."""
        named = observer.names_b(tick)
        if named != self.named:
            sign = '+' if named else '-'
            moment = 'before' if tick < 0 else f'{tick * TICK_S:.1f}'
            self.trace.append(f'{sign}{moment}')
            self.named = named
        self.judge_naming(observer, world, tick)
        self.judge_confirmation(observer, world, tick)

    def judge_naming(self, observer: Observer, world: World, tick: int) -> None:
        """Bound the time for which the look-ups are wrong."""
        knowable = world.address in observer.list_seen or self.named
        wrong = self.named != (world.usable() and knowable)
        self.wrong_ticks = self.wrong_ticks + 1 if wrong else 0
        limit = MAX_NAMED_TICKS if self.named else MAX_LEFT_OUT_TICKS
        if self.wrong_ticks > limit:
            text = 'named' if self.named else 'left out'
            self.fail(f'{text} for {self.wrong_ticks * TICK_S:.1f} s')

    def judge_confirmation(
        self,
        observer: Observer,
        world: World,
        tick: int,
    ) -> None:
        """Check the confirmation against the version in force."""
        confirmation = observer.confirmation
        now = tick * TICK_S
        age_s = now - confirmation.applied_confirmed_at
        if tick >= 0:
            self.age_s = max(self.age_s, age_s)
        promoted = world.promoted_tick * TICK_S
        if confirmation.applied_version < world.version:
            if confirmation.applied_confirmed_at > promoted:
                self.fail(f'old version confirmed at {now:.1f}')
        if confirmation.applied_version > world.version:
            self.fail('version was never promoted')
        if self.named and world.usable() and age_s > MAX_OUTAGE_AGE_S:
            self.fail(f'unconfirmed although connected: {age_s:.1f} s')
        if world.platform_for_a and tick % POLL_TICKS == 0:
            if age_s > MAX_AGE_S:
                self.fail(f'age {age_s:.1f} s with the platform')

    def fail(self, reason: str) -> None:
        """Note the first broken bound of a kind."""
        if not self.faults:
            self.faults.append(reason)

    def text(self) -> str:
        """Return the cell."""
        shown = ' '.join(self.trace) or 'never'
        faults = ''.join(f' FAILED: {reason}' for reason in self.faults)
        return f'{shown}; {self.age_s:.1f}{faults}'


def run_cell(step: str, fault: str) -> str:
    """Run one fault at one step and return the cell."""
    world = World()
    observer = Observer()
    verdict = Verdict()
    begin, end = FAULTS[fault]
    actions = dict(zip(STEPS[step], LIFE, strict=True))
    for tick in range(BEGIN_TICK, END_TICK):
        actions.get(tick, NOTHING)(world)
        if tick == 0:
            begin(world)
        if tick == FAULT_END_TICK:
            end(world)
        if tick == world.moved_tick:
            world.listed_address = world.address
        promote(world, tick)
        observer.tick(world, tick)
        verdict.note(observer, world, tick)
    return verdict.text()


def promote(world: World, tick: int) -> None:
    """Promote a version through ``b`` if it reaches the platform."""
    if tick >= PROMOTION_TICK and world.version == 1:
        if world.platform_for_b and world.running:
            world.version = 2
            world.promoted_tick = tick


def leave(world: World) -> None:
    """Begin a graceful shutdown."""
    world.leaving = True


def go(world: World) -> None:
    """End the graceful shutdown; the platform drops the host."""
    world.running = False
    world.listed = False


#: What happens at the ticks of a step.
LIFE = (functools.partial(set_fields, listed=True), World.start, leave, go)


def matrix_text() -> str:
    """Run all cells and return the table as Markdown."""
    lines = [
        f'| fault | {" | ".join(STEPS)} |',
        f'|---{"|---" * len(STEPS)}|',
    ]
    for fault in FAULTS:
        cells = ' | '.join(run_cell(step, fault) for step in STEPS)
        lines.append(f'| {fault} | {cells} |')
    return '\n'.join(lines) + '\n'


def main() -> int:
    """Print the matrix; a failed or empty cell is an exit status of 1."""
    text = matrix_text()
    print(text, end='')
    return int('FAILED' in text or '|  |' in text)


if __name__ == '__main__':
    sys.exit(main())
