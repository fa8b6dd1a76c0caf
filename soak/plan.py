"""Seeded schedule of faults: series that overlap."""

import dataclasses
import enum
import random

__all__ = ('Fault', 'FaultKind', 'draw_plan')

#: Faults begin within this part of the time with faults.
BEGIN_PART = 0.8
#: Mean time between the beginnings of two faults, in seconds.
GAP_S = 0.8
SHORTEST_S = 0.5
LONGEST_S = 4.0


class FaultKind(enum.StrEnum):
    """What happens; the value names it in logs."""

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
    STORE_FORGETS = 'store_forgets'
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
    UPSTREAM_REBORN = 'upstream_reborn'
    UPSTREAM_DRAIN = 'upstream_drain'
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
    CROWD = 'crowd'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault with its time.

    :param at: seconds after the start of the faults.
    :param pick: chooses among the things that fit.
    """

    kind: FaultKind
    at: float
    for_s: float
    pick: int


def draw_plan(seed: int, length_s: float) -> list[Fault]:
    """Draw the faults of a run."""
    rng = random.Random(seed)
    favoured = rng.sample(list(FaultKind), 6)
    plan = []
    at = 0.0
    while at < length_s * BEGIN_PART:
        kind = rng.choice(rng.choice((favoured, list(FaultKind))))
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        for_s = min(for_s, length_s - at)
        plan.append(Fault(kind, at, for_s, rng.randrange(1 << 16)))
        at += rng.expovariate(1 / GAP_S)
    return plan
