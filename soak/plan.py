"""Seeded schedule of faults; faults may overlap."""

import dataclasses
import enum
import random
from collections.abc import Sequence

__all__ = ('Fault', 'FaultKind', 'draw_plan')

#: Faults begin within this fraction of the time.
LAST_START_FRACTION = 0.8
#: Mean time between the beginnings of two faults.
MEAN_GAP_S = 0.8
MIN_DURATION_S = 0.5
MAX_DURATION_S = 4.0


class FaultKind(enum.StrEnum):
    """Kinds of faults; the value names a kind in logs.

    The prefix says what fails. Those that end in ``_BACK`` lose only the
    bytes from the server to its client.
    """

    HOST_KILL = 'host_kill'
    HOST_TERM = 'host_term'
    HOST_PAUSE = 'host_pause'
    ALL_KILL = 'all_kill'
    RELOAD = 'reload'
    STORE_DOWN = 'store_down'
    STORE_LIMIT = 'store_limit'
    STORE_SILENT = 'store_silent'
    STORE_LOST = 'store_lost'
    STORE_MALFORMED = 'store_malformed'
    #: The store drops its history of changes.
    STORE_FORGETS = 'store_forgets'
    #: Entries of upstreams expire during an outage of the store.
    STORE_LAPSE = 'store_lapse'
    STORE_CUT = 'store_cut'
    STORE_CUT_BACK = 'store_cut_back'
    STORE_DELAY = 'store_delay'
    STORE_RESET = 'store_reset'
    PEERS_CUT = 'peers_cut'
    PEERS_CUT_ONE_WAY = 'peers_cut_one_way'
    ENTRY_RESET = 'entry_reset'
    ENTRY_DELAY = 'entry_delay'
    UPSTREAM_CUT = 'upstream_cut'
    UPSTREAM_CUT_BACK = 'upstream_cut_back'
    UPSTREAM_RESET = 'upstream_reset'
    UPSTREAM_DELAY = 'upstream_delay'
    UPSTREAM_CRASH = 'upstream_crash'
    #: An upstream restarts as a new incarnation at its address.
    UPSTREAM_REBORN = 'upstream_reborn'
    UPSTREAM_DRAIN = 'upstream_drain'
    #: An upstream of another service takes over a crashed one's address.
    UPSTREAM_REUSE = 'upstream_reuse'
    ANSWER_SLOWLY = 'answer_slowly'
    ANSWER_NEVER = 'answer_never'
    ANSWER_LOST = 'answer_lost'
    ANSWER_CUT = 'answer_cut'
    ANSWER_TWICE = 'answer_twice'
    ANSWER_GARBLED = 'answer_garbled'
    ANSWER_SHEDDING = 'answer_shedding'
    KEY_WITHDRAWN = 'key_withdrawn'
    CONFIGURATION = 'configuration'
    EVACUATION = 'evacuation'
    #: Callers send requests with shorter pauses.
    CROWD = 'crowd'
    #: The store returns from a copy that lacks the latest writes.
    STORE_RESTORED = 'store_restored'
    #: An upstream says only in its answers that it leaves.
    UPSTREAM_SAYS_LEAVING = 'upstream_says_leaving'
    #: Refusals ask for a pause.
    ANSWER_PAUSING = 'answer_pausing'


#: Kinds that are drawn apart, so that earlier seeds keep their faults.
ADDED_KINDS = (
    FaultKind.STORE_RESTORED,
    FaultKind.UPSTREAM_SAYS_LEAVING,
    FaultKind.ANSWER_PAUSING,
)
FIRST_KINDS = tuple(kind for kind in FaultKind if kind not in ADDED_KINDS)
#: Mean time between the beginnings of two faults of the added kinds.
ADDED_GAP_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault with its time.

    :param start_s: time after the start of the schedule.
    :param selector: random number that chooses the target of the fault.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    selector: int


def draw_plan(seed: int, total_s: float) -> list[Fault]:
    """Draw the faults of a run.

    Six kinds, drawn first, occur more often than the others.
    """
    rng = random.Random(seed)
    frequent_kinds = rng.sample(FIRST_KINDS, 6)
    plan = draw_faults(rng, (frequent_kinds, FIRST_KINDS), total_s, MEAN_GAP_S)
    added_rng = random.Random(f'added {seed}')
    plan.extend(draw_faults(added_rng, (ADDED_KINDS,), total_s, ADDED_GAP_S))
    return sorted(plan, key=lambda fault: fault.start_s)


def draw_faults(
    rng: random.Random,
    groups: Sequence[Sequence[FaultKind]],
    total_s: float,
    mean_gap_s: float,
) -> list[Fault]:
    """Draw faults of kinds from groups that are equally frequent."""
    plan = []
    start_s = 0.0
    while start_s < total_s * LAST_START_FRACTION:
        kind = rng.choice(rng.choice(groups))
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        duration_s = min(duration_s, total_s - start_s)
        plan.append(Fault(kind, start_s, duration_s, rng.randrange(1 << 16)))
        start_s += rng.expovariate(1 / mean_gap_s)
    return plan
