"""Settings of a host as the program uses them; times in seconds."""

import dataclasses
from collections.abc import Mapping

from egretmill.host.room import Capacity

__all__ = ('Bounds', 'Endpoint', 'HostSettings')


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address and port to listen on or to connect to."""

    address: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Endpoint':
        """Read ``address:port``.

        :raises ValueError: when the text has another form.
        """
        address, _, port = text.rpartition(':')
        if not address:
            raise ValueError(f'{text!r} is not address:port')
        return cls(address, int(port))

    def __str__(self) -> str:
        """Return ``address:port``."""
        return f'{self.address}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the fleet must keep; from the deployment's contract.

    :param revoke_s: a withdrawn key stops working within this time.
    :param fail_closed: refuse keyed requests when keys may be outdated.
    :param apply_s: a configuration is in force within this time.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param retry_part: retries as a part of the requests of a service.
    :param retry_allowance: retries beyond it, over all hosts.
    :param retry_window_s: window in which retries are counted.
    :param limit_part: part of a rate that may be exceeded.
    :param limit_requests: requests beyond a rate in a window.
    :param cache_s: longest time that callers may keep a look-up.
    """

    revoke_s: float = 5
    fail_closed: bool = True
    apply_s: float = 2.5
    grace_s: float = 6
    retry_part: float = 0.1
    retry_allowance: float = 0
    retry_window_s: float = 10
    limit_part: float = 0
    limit_requests: float = 0
    cache_s: float = 5


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Everything that one host process is told at its start.

    :param regions: region of each failure domain.
    :param peer_port: UDP port of the beats, the same on all hosts.
    :param capacity: what the machine gives the program.
    :param descriptors: files and sockets that the process may open.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    regions: Mapping[str, str]
    entry: Endpoint
    readiness: Endpoint
    directory: Endpoint
    metrics: Endpoint
    peer_port: int
    bounds: Bounds = Bounds()
    capacity: Capacity = Capacity()
    descriptors: int = 4096
    log_level: str = 'INFO'
