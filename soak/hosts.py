"""Host programs as child processes, controlled by signals."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import sys
from types import MappingProxyType

__all__ = ('HostProcess', 'HostSpec')

ROOT = pathlib.Path(__file__).parents[1]
#: Bounds of the fleet in the form in which the platform states them.
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
#: Below the ephemeral port range, which outgoing connections use.
PORTS = MappingProxyType(
    {
        'entry': 8686,
        'readiness': 8680,
        'directory': 8684,
        'metrics': 9109,
        'peers': 7740,
    },
)
#: Last octet of the first host's address.
FIRST_HOST_OCTET = 10
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


def host_address(number: int) -> str:
    """Return a loopback address that only this run uses.

    On a shared address, connections of other programs may take the ports
    before the host binds them.
    """
    pid = os.getpid()
    return f'127.{pid >> 8 & 0xFF}.{pid & 0xFF}.{number + FIRST_HOST_OCTET}'


@dataclasses.dataclass(frozen=True, slots=True)
class HostSpec:
    """Name and location of a host; ``number`` is unique within a run."""

    number: int
    name: str
    domain: str
    region: str


class HostProcess:
    """One host and its process; each restart uses the same settings."""

    def __init__(self, spec: HostSpec, folder: pathlib.Path) -> None:
        """Choose the address; settings and log go into the folder."""
        self.spec = spec
        self.path = folder / f'{spec.name}.toml'
        self.log_path = folder / f'{spec.name}.log'
        self.address = host_address(spec.number)
        self.ports = PORTS
        self.process: asyncio.subprocess.Process | None = None
        self.paused = False

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def endpoint(self, name: str) -> tuple[str, int]:
        """Return the address and port of a listener by its name."""
        return (self.address, self.ports[name])

    def write_settings(self, store: tuple[str, int], regions: dict) -> None:
        """Write the settings file."""
        self.path.write_text(
            SETTINGS.format(
                name=self.spec.name,
                address=self.address,
                domain=self.spec.domain,
                region=self.spec.region,
                store=f'{store[0]}:{store[1]}',
                regions=to_toml_lines(regions),
                bounds=to_toml_lines(BOUNDS),
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
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.paused = False
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self, grace_s: float) -> bool:
        """Terminate the process; kill it after the grace period.

        Return whether it ended within that period.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True


def to_toml_lines(table: dict[str, str]) -> str:
    """Return the lines of a TOML table."""
    return '\n'.join(f'"{name}" = "{text}"' for name, text in table.items())
