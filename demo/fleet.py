"""Starts and stops a fleet on loopback addresses.

Seven entry hosts in six failure domains, each with an agent, an entry and
a steer program, plus the stand-ins for the platform and the upstreams.
All processes are children of the caller, which ends them by process ID.
"""

import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Sequence

import msgspec
import tomli_w

from egretmill.settings import HostSettings, PlatformSettings, PortSettings
from egretmill.store.ports import Hosts
from egretmill.wire.messages import HostRecord, UpstreamRecord

__all__ = (
    'DOMAINS',
    'SERVICES',
    'Fleet',
    'ServiceSize',
)

#: Failure domain, region and entry hosts of the demo.
DOMAINS = (
    ('tbilisi-a', 'tbilisi', 2),
    ('tbilisi-b', 'tbilisi', 1),
    ('kutaisi-a', 'kutaisi', 1),
    ('kutaisi-b', 'kutaisi', 1),
    ('batumi-a', 'batumi', 1),
    ('batumi-b', 'batumi', 1),
)
PROGRAMS = ('agent', 'entry', 'steer')
STOP_LIMIT_S = 20.0
PLATFORM_PORT = 9000
FIRST_UPSTREAM_PORT = 9100
PORTS_PER_SERVICE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSize:
    """Worker count of a service, and the slots and service time of each."""

    name: str
    workers: int
    slots: int
    service_ms: float = 2.0


SERVICES = (
    ServiceSize('rota-board', 14, 6),
    ServiceSize('swap-ledger', 12, 4),
    ServiceSize('doc-intake', 12, 3),
    ServiceSize('roster-lookup', 12, 3),
)


class Fleet:
    """The processes of one fleet and the addresses that they listen on."""

    def __init__(
        self,
        folder: pathlib.Path,
        second_octet: int,
        log_level: str = 'WARNING',
        drain_s: float = 6.0,
        domains: Sequence[tuple[str, str, int]] = DOMAINS,
        services: Sequence[ServiceSize] = SERVICES,
    ) -> None:
        """Assign names, addresses and ports; start nothing.

        :param folder: holds settings and logs.
        :param second_octet: of all addresses; concurrent runs on one machine
            use different ones.
        :param domains: failure domain, region and number of hosts.
        """
        self.folder = folder
        self.prefix = f'127.{second_octet}'
        self.log_level = log_level
        self.drain_s = drain_s
        self.domains = domains
        self.services = services
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.killed: set[str] = set()
        self.hosts = tuple(self.create_host_records())
        self.upstreams = tuple(self.create_upstream_records())

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f'http://{self.prefix}.0.10:{PLATFORM_PORT}'

    def create_host_records(self):
        """Yield the host records of the fleet."""
        number = 0
        ports = PortSettings()
        for domain, _region, count in self.domains:
            for index in range(count):
                number += 1
                yield HostRecord(
                    name=f'{domain}-{index + 1}',
                    failure_domain=domain,
                    address=f'{self.prefix}.1.{number}',
                    entry_port=ports.entry,
                    steer_port=ports.steer,
                    agent_port=ports.agent,
                    entry_peer_port=ports.entry_peer,
                )

    def create_upstream_records(self):
        """Yield the upstream records, spread over the sites in turn."""
        for row, service in enumerate(self.services):
            first_port = FIRST_UPSTREAM_PORT + row * PORTS_PER_SERVICE
            for index in range(service.workers):
                domain = self.domains[index % len(self.domains)][0]
                yield UpstreamRecord(
                    name=f'{service.name}-{index}',
                    service=service.name,
                    site=f'site-{domain}',
                    address=f'{self.prefix}.2.{row + 1}',
                    port=first_port + index,
                    slots=service.slots,
                    max_connections=330,
                )

    def host_list(self) -> bytes:
        """Return the platform's host list as JSON."""
        return msgspec.json.encode(Hosts(self.hosts, self.upstreams))

    def start_standins(self) -> None:
        """Start the platform stand-in and an upstream process per service."""
        self.start_process(
            'platform',
            'standins.platform',
            '--address',
            f'{self.prefix}.0.10',
            '--port',
            str(PLATFORM_PORT),
        )
        for row, service in enumerate(self.services):
            self.start_process(
                f'upstream-{service.name}',
                'standins.upstream',
                '--name',
                service.name,
                '--address',
                f'{self.prefix}.2.{row + 1}',
                '--port',
                str(FIRST_UPSTREAM_PORT + row * PORTS_PER_SERVICE),
                '--slots',
                str(service.slots),
                '--count',
                str(service.workers),
                '--service-ms',
                str(service.service_ms),
            )

    def start_host(self, host: HostRecord) -> None:
        """Start the three programs of a host."""
        for program in PROGRAMS:
            self.start_program(host, program)

    def start_program(self, host: HostRecord, program: str) -> None:
        """Start one program of a host."""
        settings = self.folder / f'{host.name}.toml'
        settings.write_text(tomli_w.dumps(self.create_host_settings(host)))
        self.start_process(
            f'{host.name}/{program}',
            f'egretmill.{program}',
            '--config',
            str(settings),
        )

    def create_host_settings(self, host: HostRecord) -> dict[str, object]:
        """Return the host settings as plain TOML tables."""
        settings = HostSettings(
            name=host.name,
            failure_domain=host.failure_domain,
            address=host.address,
            platform=PlatformSettings(self.platform_url),
            seeds=tuple(
                f'{other.address}:{other.agent_port}'
                for other in self.hosts[:3]
                if other.name != host.name
            ),
        )
        tables = msgspec.to_builtins(settings)
        tables['log']['level'] = self.log_level
        tables['log']['format'] = 'json'
        tables['timing']['drain_s'] = self.drain_s
        return drop_unset_values(tables)

    def start_process(self, name: str, module: str, *arguments: str) -> None:
        """Start one process; its output goes to a file of the folder."""
        log = self.folder / (name.replace('/', '.') + '.log')
        with log.open('ab') as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | {'PYTHONUNBUFFERED': '1'},
            )

    def agent_options(self) -> list[str]:
        """Return the command-line options with the URLs of all agents."""
        return [
            part
            for host in self.hosts
            for part in (
                '--agent',
                f'http://{host.address}:{PortSettings().operations}',
            )
        ]

    def find_failures(self, statuses: dict[str, int]) -> dict[str, int]:
        """Return the failed processes of hosts that were not killed."""
        return {
            name: status
            for name, status in statuses.items()
            if status and name.split('/')[0] not in self.killed
        }

    def log_tail(self, name: str) -> str:
        """Return the last 2000 characters of a process's output."""
        log = self.folder / (name.replace('/', '.') + '.log')
        return log.read_text()[-2000:]

    def kill_host(self, host: HostRecord) -> None:
        """Kill the programs of a host without warning."""
        self.killed.add(host.name)
        for program in PROGRAMS:
            self.processes[f'{host.name}/{program}'].kill()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def stop(self) -> dict[str, int]:
        """End all processes; return the exit status of each.

        Programs of the hosts end first, while the stand-ins still answer.
        """
        host_programs = [name for name in self.processes if '/' in name]
        standins = [name for name in self.processes if '/' not in name]
        self.terminate_processes(host_programs)
        self.terminate_processes(standins)
        return {
            name: process.returncode for name, process in self.processes.items()
        }

    def terminate_processes(self, names: list[str]) -> None:
        """Send SIGTERM to processes; kill those that do not end in time."""
        for name in names:
            process = self.processes[name]
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + STOP_LIMIT_S
        for name in names:
            process = self.processes[name]
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def drop_unset_values(tables: dict[str, object]) -> dict[str, object]:
    """Return the tables without unset values, which TOML cannot hold."""
    return {name: row for name, row in tables.items() if row is not None}
