"""Fault matrix of membership: every fault at every step of a host's lifecycle.

Run as ``python -m bench.membership_matrix``. Host ``a`` runs the real
aggregates and watches host ``b`` in virtual time. The fault lasts from 0 s
to 5 s. A cell shows when the look-ups of ``a`` started (+) and stopped (-)
including ``b``, and the largest age of the confirmation of ``a``. A cell fails
when ``b`` is included for too long while it is unusable, or excluded for too
long while it is usable, or when the confirmation covers a time at which
another version was in force.
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
# 1.5 s of missed heartbeats (design page, section 11) and one interval
# of 0.5 s, at the end of which the last answer may have arrived.
MAX_INCLUDED_TICKS = 20
# Two intervals: a silent host may have two addresses, probed alternately.
MAX_EXCLUDED_TICKS = 11
#: Largest age while the platform answers: one poll and its deadline.
MAX_AGE_S = 1.0
#: Largest age under the outage rule: a host counts as silent after 1 s, which
#: the next heartbeat detects.
MAX_OUTAGE_AGE_S = 2.1
OLD_ADDRESS = '127.0.0.2'
NEW_ADDRESS = '127.0.0.3'


@dataclasses.dataclass(slots=True)
class World:
    """Actual state of host ``b``, the links and the platform."""

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
    address_listed_tick: int = END_TICK
    version: int = 1
    promoted_tick: int = END_TICK

    def start(self) -> None:
        """Start the program of ``b`` unless it was killed."""
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

    def is_agent_running(self) -> bool:
        """Return whether the agent of ``b`` runs."""
        return self.running and self.agent_up and not self.paused

    def is_usable(self) -> bool:
        """Return whether look-ups of ``a`` should include ``b``."""
        is_linked = self.link_to_b and self.link_from_b
        return self.is_agent_running() and is_linked and not self.leaving


def kill(world: World) -> None:
    """End the program; it is never started again."""
    world.running = False
    world.may_start = False


def restart(world: World) -> None:
    """Start the program again at the same address."""
    world.listed = True
    world.start()


def replace(world: World) -> None:
    """Start the program at another address; it is listed later."""
    world.address = NEW_ADDRESS
    world.listed = True
    world.address_listed_tick = LIST_LAG_TICKS
    world.start()


def stop_agent(world: World) -> None:
    """Stop the agent of ``b``."""
    world.agent_up = False


def restart_agent(world: World) -> None:
    """Start the agent of ``b`` again, as another incarnation."""
    world.agent_up = True
    world.incarnation += 1


def set_fields(world: World, **values: bool) -> None:
    """Set fields of the simulated state."""
    for name, value in values.items():
        setattr(world, name, value)


NO_ACTION = set_fields
#: Actions that begin and end each fault.
FAULTS = {
    'none': (NO_ACTION, NO_ACTION),
    'killed': (kill, NO_ACTION),
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
    'restarted': (restart, NO_ACTION),
    'replaced': (replace, NO_ACTION),
    'agent lost': (stop_agent, restart_agent),
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
#: Ticks at which ``b`` is listed, starts, begins its shutdown and ends. The
#: fault begins at tick 0.
STEPS = {
    'listed': (-10, 10, END_TICK, END_TICK),
    'first heartbeat': (-10, 0, END_TICK, END_TICK),
    'steady': (-60, -50, END_TICK, END_TICK),
    'leaving': (-60, -50, -3, 40),
    'gone': (-70, -60, -50, -3),
}


class Observer:
    """Host ``a`` with its aggregates."""

    def __init__(self) -> None:
        """Register ``a`` as the holder of share slot 0."""
        self.peers = Peers('a')
        self.confirmation = Confirmation('a')
        self.unanswered: list[tuple[int, str]] = []
        self.listed_addresses: set[str] = set()
        own = Heartbeat('a', 1, 0, 0, 0, False, True, 0)
        self.confirmation.holders.receive_heartbeat(own, BEGIN_TICK * TICK_S)

    def tick(self, world: World, tick: int) -> None:
        """Poll the platform, send heartbeats and process their answers."""
        now = tick * TICK_S
        if tick % POLL_TICKS == 0 and world.platform_for_a:
            self.poll(world, now)
        for name in self.peers.schedule_heartbeats(now):
            self.send_heartbeat(world, name, tick)
        timed_out = [host for due, host in self.unanswered if due <= tick]
        for host in timed_out:
            self.peers.record_missed_heartbeat(host, now)
        self.unanswered = [item for item in self.unanswered if item[0] > tick]
        if (
            tick % POLL_TICKS == 3
            and world.is_agent_running()
            and world.link_from_b
        ):
            heartbeat = create_heartbeat(world, tick)
            self.peers.receive_heartbeat(heartbeat, None, now)
            self.confirmation.receive_heartbeat(heartbeat, None, now)
        self.apply(now)

    def poll(self, world: World, now: float) -> None:
        """Read version, slots and host list."""
        self.confirmation.record_platform_read(world.version, now, now)
        holder = 'b' if world.running else None
        self.confirmation.holders.record_rows({0: 'a', 1: holder}, now)
        if not world.list_stale:
            self.peers.apply_host_list(world.host_list(), now)
            self.listed_addresses = {row.address for row in world.host_list()}

    def send_heartbeat(self, world: World, name: str, tick: int) -> None:
        """Send one heartbeat; it is answered at once or never."""
        now = tick * TICK_S
        is_answered = (
            world.link_to_b and world.link_from_b and world.is_agent_running()
        )
        if (
            is_answered
            and self.peers.host_record(name).address == world.address
        ):
            heartbeat = create_heartbeat(world, tick)
            self.peers.receive_heartbeat(
                heartbeat, now, now, requested_host=name
            )
            self.confirmation.receive_heartbeat(heartbeat, now, now)
            return
        self.unanswered.append((tick + ANSWER_DEADLINE_TICKS, name))

    def apply(self, now: float) -> None:
        """Put the newest version in force and apply the outage rule."""
        self.confirmation.apply_version(self.confirmation.newest_version, now)
        states = self.peers.states(now)
        self.confirmation.apply_outage_rule(states, SLOTS, now)

    def includes_b(self, tick: int) -> bool:
        """Return whether look-ups include ``b``."""
        return any(
            state.reachable and state.entry_ready and not state.leaving
            for state in self.peers.states(tick * TICK_S)
        )


def create_heartbeat(world: World, tick: int) -> Heartbeat:
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
class CellResult:
    """Result of a cell and the bounds that it exceeds."""

    lookup_changes: list[str] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)
    is_included: bool = False
    wrong_ticks: int = 0
    age_s: float = 0.0

    def check_tick(self, observer: Observer, world: World, tick: int) -> None:
        """Check the observer against the actual state."""
        is_included = observer.includes_b(tick)
        if is_included != self.is_included:
            sign = '+' if is_included else '-'
            moment = 'before' if tick < 0 else f'{tick * TICK_S:.1f}'
            self.lookup_changes.append(f'{sign}{moment}')
            self.is_included = is_included
        self.check_lookups(observer, world, tick)
        self.check_confirmation(observer, world, tick)

    def check_lookups(
        self, observer: Observer, world: World, tick: int
    ) -> None:
        """Check how long the look-ups have been wrong."""
        can_be_known = (
            world.address in observer.listed_addresses or self.is_included
        )
        is_wrong = self.is_included != (world.is_usable() and can_be_known)
        self.wrong_ticks = self.wrong_ticks + 1 if is_wrong else 0
        limit = MAX_INCLUDED_TICKS if self.is_included else MAX_EXCLUDED_TICKS
        if self.wrong_ticks > limit:
            text = 'named' if self.is_included else 'left out'
            self.fail(f'{text} for {self.wrong_ticks * TICK_S:.1f} s')

    def check_confirmation(
        self,
        observer: Observer,
        world: World,
        tick: int,
    ) -> None:
        """Check the age of the confirmation and the version it covers."""
        confirmation = observer.confirmation
        now = tick * TICK_S
        age_s = now - confirmation.applied_confirmed_at
        if tick >= 0:
            self.age_s = max(self.age_s, age_s)
        promoted_at = world.promoted_tick * TICK_S
        if confirmation.applied_version < world.version:
            if confirmation.applied_confirmed_at > promoted_at:
                self.fail(f'old version confirmed at {now:.1f}')
        if confirmation.applied_version > world.version:
            self.fail('version was never promoted')
        if self.is_included and world.is_usable() and age_s > MAX_OUTAGE_AGE_S:
            self.fail(f'unconfirmed although connected: {age_s:.1f} s')
        if world.platform_for_a and tick % POLL_TICKS == 0:
            if age_s > MAX_AGE_S:
                self.fail(f'age {age_s:.1f} s with the platform')

    def fail(self, reason: str) -> None:
        """Record the first failed check of the cell."""
        if not self.failures:
            self.failures.append(reason)

    def text(self) -> str:
        """Return the text of the cell."""
        changes = ' '.join(self.lookup_changes) or 'never'
        failures = ''.join(f' FAILED: {reason}' for reason in self.failures)
        return f'{changes}; {self.age_s:.1f}{failures}'


def run_cell(step: str, fault: str) -> str:
    """Run one fault at one step and return the cell."""
    world = World()
    observer = Observer()
    result = CellResult()
    begin, end = FAULTS[fault]
    actions = dict(zip(STEPS[step], LIFECYCLE, strict=True))
    for tick in range(BEGIN_TICK, END_TICK):
        actions.get(tick, NO_ACTION)(world)
        if tick == 0:
            begin(world)
        if tick == FAULT_END_TICK:
            end(world)
        if tick == world.address_listed_tick:
            world.listed_address = world.address
        promote(world, tick)
        observer.tick(world, tick)
        result.check_tick(observer, world, tick)
    return result.text()


def promote(world: World, tick: int) -> None:
    """Promote a version through ``b`` if it reaches the platform."""
    if tick >= PROMOTION_TICK and world.version == 1:
        if world.platform_for_b and world.running:
            world.version = 2
            world.promoted_tick = tick


def begin_shutdown(world: World) -> None:
    """Begin a graceful shutdown of ``b``."""
    world.leaving = True


def end_shutdown(world: World) -> None:
    """End the graceful shutdown; the platform removes the host."""
    world.running = False
    world.listed = False


#: What happens at the ticks of a step.
LIFECYCLE = (
    functools.partial(set_fields, listed=True),
    World.start,
    begin_shutdown,
    end_shutdown,
)


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
    """Print the matrix; return 1 if a cell failed or is empty."""
    text = matrix_text()
    print(text, end='')
    return int('FAILED' in text or '|  |' in text)


if __name__ == '__main__':
    sys.exit(main())
