"""Host programs as processes, with signals from outside."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import sys
from types import MappingProxyType

__all__ = ('HostPlace', 'HostProcess')

ROOT = pathlib.Path(__file__).parents[1]
#: Promises of the soaked fleet, as the platform would state them.
BOUNDS = {
    'Revoke': '5s',
    'ConfigApply': '2.5s',
    'Grace': '6s',
    'RetryBudgetRatio': '0.2',
    'RetryAllowance': '20',
    'BudgetWindow': '10s',
    'QuotaOverage': '0.1',
    'QuotaSlack': '20',
}
#: Below the range of ports for outgoing connections.
PORTS = MappingProxyType(
    {
        'entry': 8686,
        'readiness': 8680,
        'directory': 8684,
        'metrics': 9109,
        'peers': 7740,
    },
)
#: Last part of the first host's address.
FIRST_NUMBER = 10
SETTINGS = """
[host]
name = "{name}"
address = "{address}"
failure_domain = "{domain}"
region = "{region}"
room = 1
[listen]
entry = "{address}:{entry}"
readiness = "{address}:{readiness}"
directory = "{address}:{directory}"
metrics = {metrics}
peers = {peers}
[store]
address = "{store}"
[regions]
{regions}
[bounds]
{bounds}
"""


def own_address(number: int) -> str:
    """Return a loopback address that only this run uses.

    Ports of a shared address may be taken by connections of other programs
    before the host binds them.
    """
    run = os.getpid()
    return f'127.{run >> 8 & 0xFF}.{run & 0xFF}.{number + FIRST_NUMBER}'


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlace:
    """Where a host stands; ``number`` differs within a run."""

    number: int
    name: str
    domain: str
    region: str


class HostProcess:
    """One host and its process; restarted with the same settings."""

    def __init__(self, place: HostPlace, folder: pathlib.Path) -> None:
        """Choose the address."""
        self.place = place
        self.path = folder / f'{place.name}.toml'
        self.log_path = folder / f'{place.name}.log'
        self.address = own_address(place.number)
        self.ports = PORTS
        self.process: asyncio.subprocess.Process | None = None
        self.paused = False

    @property
    def runs(self) -> bool:
        """Tell whether the process is there."""
        return self.process is not None and self.process.returncode is None

    def endpoint(self, name: str) -> tuple[str, int]:
        """Return one of the addresses."""
        return (self.address, self.ports[name])

    def write_settings(self, store: tuple[str, int], regions: dict) -> None:
        """Write the settings file."""
        self.path.write_text(
            SETTINGS.format(
                name=self.place.name,
                address=self.address,
                domain=self.place.domain,
                region=self.place.region,
                store=f'{store[0]}:{store[1]}',
                regions=to_lines(regions),
                bounds=to_lines(BOUNDS),
                **self.ports,
            ),
        )

    async def start(self) -> None:
        """Start the process; its log goes to a file."""
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                'platform/start.py',
                cwd=ROOT,
                env={**os.environ, 'EGRETMILL_CONFIG': str(self.path)},
                stdout=log,
                stderr=log,
            )
        self.paused = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the own process."""
        if self.runs:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stand still."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Go on."""
        self.paused = False
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self, grace_s: float) -> bool:
        """End the process gracefully; return whether it kept the grace."""
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True


def to_lines(table: dict[str, str]) -> str:
    """Return a TOML table's lines."""
    return '\n'.join(f'"{name}" = "{text}"' for name, text in table.items())
