"""Settings of a host, independent of the platform; times in seconds."""

import dataclasses
import re
from collections.abc import Mapping

from egretmill.host.capacity import Capacity

__all__ = ('Bounds', 'Endpoint', 'HostSettings')

MAX_PORT = 65535
PORT = re.compile(r'[0-9]{1,5}')


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address and port to listen on or to connect to."""

    address: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Endpoint':
        """Parse ``address:port``.

        :raises ValueError: when the text has another form.
        """
        address, _, port = text.rpartition(':')
        if not address:
            raise ValueError(f'{text!r} is not address:port')
        if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f'{text!r} has no port from 1 to {MAX_PORT}')
        return cls(address, int(port))

    def __str__(self) -> str:
        """Return ``address:port``."""
        return f'{self.address}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the fleet must meet, from the deployment's contract.

    :param revoke_s: a withdrawn key stops working within this time.
    :param fail_closed: refuse requests with keys when these may be outdated.
    :param apply_s: a configuration is applied within this time.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param retry_fraction: retries as a fraction of the requests of a service.
    :param retry_allowance: retries beyond this fraction, for all hosts.
    :param retry_window_s: window in which retries are counted.
    :param excess_fraction: fraction by which a rate may be exceeded.
    :param excess_requests: requests beyond a rate in a window.
    :param cache_s: longest time for which callers may cache a look-up.
    """

    revoke_s: float = 5
    fail_closed: bool = True
    apply_s: float = 2.5
    grace_s: float = 6
    retry_fraction: float = 0.1
    retry_allowance: float = 0
    retry_window_s: float = 10
    excess_fraction: float = 0
    excess_requests: float = 0
    cache_s: float = 5


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host process.

    :param regions: region of each failure domain.
    :param peer_port: port for heartbeats (UDP) and for reading copies (TCP),
        the same on all hosts.
    :param capacity: resources that the machine gives the program.
    :param descriptors: files and sockets that the process may open.
    :param memory_bytes: memory that the process may use.
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
    memory_bytes: int = 300 << 20
    log_level: str = 'INFO'
