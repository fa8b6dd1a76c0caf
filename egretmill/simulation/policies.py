"""Policies that the simulation compares."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType

__all__ = ('POLICIES', 'Policy')


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Which mechanisms of the placement are in use.

    :param urgent_waits: less urgent requests leave room for urgent ones.
    """

    urgent_waits: bool = True


#: Policies by the name that the command line takes.
POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        'current': Policy(),
        'equal-waits': Policy(urgent_waits=False),
    }
)
