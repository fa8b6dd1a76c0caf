"""Rules that span several fields of the host settings."""

import ipaddress
from collections.abc import Callable, Iterator

import msgspec

from egretmill.settings.model import HostSettings
from egretmill.settings.problems import Violation

__all__ = ('RULES', 'violations')


def address_is_of_a_host(settings: HostSettings) -> Iterator[Violation]:
    """The address is one IP address that other hosts can connect to."""
    try:
        address = ipaddress.ip_address(settings.address)
    except ValueError:
        yield '$.address', settings.address, 'must be an IP address'
        return
    if address.is_unspecified or address.is_multicast:
        rule = 'must be the address of this host'
        yield '$.address', settings.address, rule


def ports_differ(settings: HostSettings) -> Iterator[Violation]:
    """Each port of the host has one use."""
    used: dict[int, str] = {}
    for name, port in msgspec.structs.asdict(settings.ports).items():
        other = used.setdefault(port, name)
        if other != name:
            yield f'$.ports.{name}', str(port), f'also used by {other}'


def shutdown_outlasts_drain(settings: HostSettings) -> Iterator[Violation]:
    """The time limit of a shutdown is longer than its drain period.

    Cached look-up answers expire during the drain period.
    """
    timing = settings.timing
    if timing.shutdown_limit_s <= timing.drain_s:
        rule = f'must be above timing.drain_s, {timing.drain_s}'
        yield '$.timing.shutdown_limit_s', str(timing.shutdown_limit_s), rule


#: All rules, in the order in which problems are reported.
RULES: tuple[Callable[[HostSettings], Iterator[Violation]], ...] = (
    address_is_of_a_host,
    ports_differ,
    shutdown_outlasts_drain,
)


def violations(settings: HostSettings) -> Iterator[Violation]:
    """Yield the violations of all rules."""
    for rule in RULES:
        yield from rule(settings)
