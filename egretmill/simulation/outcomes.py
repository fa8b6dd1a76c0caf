"""What the callers of a simulation got."""

import dataclasses

__all__ = ('Outcome', 'PhaseOutcomes')


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of callers' requests by their final answer.

    :param refused: refused for good.
    :param rejected: arrivals that an upstream rejected.
    :param warm: responses of upstreams that were warm for the object.
    :param earned: worth of all responses; ``owed`` is the highest possible.
    """

    asked: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    returned: int = 0
    rejected: int = 0
    warm: int = 0
    earned: float = 0
    owed: float = 0

    @property
    def served(self) -> int:
        """Return the number of responses."""
        return self.in_target + self.late

    @property
    def worth(self) -> float:
        """Return the earned fraction of the worth."""
        return self.earned / self.owed if self.owed else 0

    @property
    def warm_fraction(self) -> float:
        """Return the fraction of the responses of warm upstreams."""
        return self.warm / self.served if self.served else 0


@dataclasses.dataclass(slots=True)
class PhaseOutcomes:
    """Outcomes of one phase, in all and by route and region."""

    total: Outcome = dataclasses.field(default_factory=Outcome)
    by_route: dict[str, Outcome] = dataclasses.field(default_factory=dict)
    by_region: dict[str, Outcome] = dataclasses.field(default_factory=dict)

    def of(self, route: str, region: str) -> tuple[Outcome, Outcome, Outcome]:
        """Return the outcomes that a request counts for."""
        return (
            self.total,
            self.by_route.setdefault(route, Outcome()),
            self.by_region.setdefault(region, Outcome()),
        )

    @property
    def worst_route_worth(self) -> float:
        """Return the worth of the worst-served route."""
        return min(outcome.worth for outcome in self.by_route.values())

    @property
    def worst_region_worth(self) -> float:
        """Return the worth of the worst-served region."""
        return min(outcome.worth for outcome in self.by_region.values())
