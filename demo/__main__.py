"""Runs the whole system on one machine, with stand-ins for its environment.

Seven entry hosts serve reads, non-idempotent writes and a streamed upload.
Meanwhile one host is killed and one API key is withdrawn.
"""

import argparse
import asyncio
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

from tornado.httpclient import AsyncHTTPClient

from demo.callers import NO_ANSWER, Callers
from demo.fleet import SERVICES, Fleet

SEED = 20261204
ACCOUNTS = ('tavisupleba', 'mtavari-dro', 'kviris-ambebi')
READS = 600
SWAPS = 120
UPLOAD_BYTES = 67108864
READY_LIMIT_S = 25.0
WITHDRAWN_LIMIT_S = 2.0
TEMPLATE = pathlib.Path(__file__).with_name('environment.toml')


def print_line(text: str) -> None:
    """Print a line of progress at once."""
    print(text, flush=True)


def egretmill(*arguments: str) -> str:
    """Run the operator's command-line tool and return its output."""
    completed = subprocess.run(
        [sys.executable, '-m', 'egretmill.cli.application', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    if completed.returncode:
        raise RuntimeError(f'{arguments}: {completed.stdout}{completed.stderr}')
    return completed.stdout


def make_accounts() -> tuple[dict[str, str], str]:
    """Create one API key per client account.

    :returns: keys by account, and the account tables for the environment
        document.
    """
    keys = {}
    tables = []
    for account in ACCOUNTS:
        output = egretmill('key', 'new', '--label', account)
        keys[account] = re.search('egk_[A-Za-z0-9_-]+', output).group()
        digest = re.search('sha256:[0-9a-f]{64}', output).group()
        tables.append(
            f'\n[[accounts]]\nname = "{account}"\nrate_per_s = 400\n'
            f'burst = 200\nkeys = [{{ digest = "{digest}" }}]\n',
        )
    return keys, ''.join(tables)


class Demo:
    """The steps of the demo on one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        """Prepare callers and the environment document."""
        self.fleet = fleet
        self.keys, tables = make_accounts()
        self.text = TEMPLATE.read_text() + tables
        self.callers = Callers(fleet.hosts, SEED)
        self.client = AsyncHTTPClient(force_instance=True)
        self.failures: list[str] = []

    async def run(self) -> None:
        """Run all steps."""
        await self.start()
        await self.promote(self.text, 0)
        await self.wait_ready()
        await self.serve_reads(READS // 2)
        await self.serve_swaps()
        await self.serve_upload()
        await self.kill_host_under_load()
        await self.withdraw_key()
        await self.check_executions()

    async def keep_running(self) -> None:
        """Start the fleet, print how to reach it and wait for Ctrl-C."""
        await self.start()
        await self.promote(self.text, 0)
        await self.wait_ready()
        host = self.fleet.hosts[0]
        operations = self.fleet.agent_options()[1]
        print_line(f'key        {self.keys[ACCOUNTS[0]]}')
        print_line(f'look-ups   http://{host.address}:{host.steer_port}')
        print_line(f'requests   http://{host.address}:{host.entry_port}')
        print_line(f'operations {operations}')
        print_line(f'document   {self.fleet.folder}/environment-1.toml')
        print_line('Ctrl-C ends the fleet')
        await asyncio.Event().wait()

    def check(self, holds: bool, text: str) -> None:
        """Record a failure unless the expectation holds."""
        if not holds:
            self.failures.append(text)

    async def start(self) -> None:
        """Start the stand-ins and the hosts."""
        self.fleet.start_standins()
        await self.post_host_list()
        for host in self.fleet.hosts:
            self.fleet.start_host(host)
        print_line(f'{len(self.fleet.processes)} processes started')

    async def post_host_list(self) -> None:
        """Post the host list to the platform stand-in."""
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            try:
                await self.client.fetch(
                    f'{self.fleet.platform_url}/hosts',
                    method='POST',
                    body=self.fleet.host_list(),
                )
            except OSError:
                await asyncio.sleep(0.1)
            else:
                return
        raise RuntimeError('the platform stand-in does not start')

    async def promote(self, text: str, replaces: int) -> None:
        """Promote a document with the operator's command-line tool."""
        path = self.fleet.folder / f'environment-{replaces + 1}.toml'
        path.write_text(text)
        egretmill('check', str(path))
        options = self.fleet.agent_options()
        started_at = time.monotonic()
        await asyncio.to_thread(
            egretmill,
            'promote',
            str(path),
            *options,
            '--replaces',
            str(replaces),
            '--operator',
            'demo',
        )
        elapsed_s = time.monotonic() - started_at
        print_line(f'version {replaces + 1} promoted in {elapsed_s:.2f} s')

    async def wait_ready(self) -> None:
        """Wait until every host serves a read by the promoted version."""
        deadline = time.monotonic() + READY_LIMIT_S
        key = self.keys[ACCOUNTS[0]]
        for host in self.fleet.hosts:
            url = f'http://{host.address}:{host.entry_port}/rota/0'
            while (await self.fetch_status(url, key)) != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f'{host.name} does not get ready')
                await asyncio.sleep(0.1)
        print_line('all hosts serve')

    async def fetch_status(self, url: str, key: str) -> int:
        """Return the status code of one GET request."""
        answer = await self.callers.fetch(url, headers={'X-Api-Key': key})
        return answer.code

    async def serve_reads(self, count: int) -> None:
        """Send idempotent reads with the keys of all client accounts."""
        keys = [self.keys[name] for name in ACCOUNTS]
        await self.callers.run_concurrently(
            lambda number: self.callers.read_board(keys[number % len(keys)]),
            count,
            20,
        )
        print_line(f'{count} reads done')

    async def serve_swaps(self) -> None:
        """Send writes, each posted twice under its idempotency key."""
        key = self.keys[ACCOUNTS[1]]
        await self.callers.run_concurrently(
            lambda number: self.callers.post_swap(key, f'swap-{number // 2}'),
            SWAPS,
            10,
        )
        print_line(f'{SWAPS} swap posts done, each swap posted twice')

    async def serve_upload(self) -> None:
        """Stream one large file through the system."""
        key = self.keys[ACCOUNTS[2]]
        started_at = time.monotonic()
        answer, checksum = await self.callers.upload(key, UPLOAD_BYTES)
        elapsed_s = time.monotonic() - started_at
        self.check(answer.code == 200, f'upload: status {answer.code}')
        if answer.code == 200:
            received = json.loads(answer.body)
            self.check(received['xxh3'] == checksum, 'upload: bytes differ')
        print_line(
            f'upload of {UPLOAD_BYTES >> 20} MiB done in {elapsed_s:.2f} s'
        )

    async def kill_host_under_load(self) -> None:
        """Kill one host while reads and writes go on."""
        reads = asyncio.create_task(self.serve_reads(READS // 2))
        await asyncio.sleep(0.1)
        killed = self.fleet.hosts[2]
        self.fleet.kill_host(killed)
        print_line(f'{killed.name} killed')
        await reads
        key = self.keys[ACCOUNTS[1]]
        await self.callers.run_concurrently(
            lambda number: self.callers.post_swap(key, f'late-{number // 2}'),
            SWAPS // 4,
            10,
        )

    async def withdraw_key(self) -> None:
        """Promote a version without a key; wait until all hosts reject it."""
        key = self.keys[ACCOUNTS[0]]
        before, _, after = self.text.partition('keys = [')
        withdrawn = f'{before}keys = []{after[after.index("]") + 1 :]}'
        await self.promote(withdrawn, 1)
        started_at = time.monotonic()
        for host in self.fleet.hosts:
            url = f'http://{host.address}:{host.entry_port}/rota/0'
            while await self.fetch_status(url, key) == 200:
                if time.monotonic() - started_at > WITHDRAWN_LIMIT_S:
                    break
                await asyncio.sleep(0.02)
        elapsed_s = time.monotonic() - started_at
        self.check(elapsed_s <= WITHDRAWN_LIMIT_S, 'withdrawn key still works')
        print_line(
            f'key withdrawn everywhere {elapsed_s:.2f} s after the promotion'
        )

    async def check_executions(self) -> None:
        """Compare the answers of callers with the executions of upstreams."""
        executions: dict[str, int] = {}
        keys_seen = 0
        for upstream in self.fleet.upstreams:
            url = f'http://{upstream.address}:{upstream.port}/executions'
            answer = await self.client.fetch(url)
            report = json.loads(answer.body)
            keys_seen += report['keys_seen']
            for work_id, count in report['executions'].items():
                executions[work_id] = executions.get(work_id, 0) + count
        write_counts = [
            count
            for work_id, count in executions.items()
            if work_id.startswith(('swap-', 'late-'))
        ]
        executed_twice = sum(1 for count in write_counts if count > 1)
        tally = self.callers.tally
        self.check(executed_twice == 0, 'a write ran twice')
        self.check(keys_seen == 0, 'an upstream saw a key')
        self.check(tally.foreign == 0, 'a caller got a foreign answer')
        self.check(tally.served > READS, 'too few requests were served')
        print_line(
            f'look-ups {tally.lookups}, served {tally.served}, '
            f'refused {tally.refused}, lost {tally.statuses[NO_ANSWER]}, '
            f'writes {len(write_counts)}, ran twice = {executed_twice}, '
            f'keys seen by upstreams = {keys_seen}, '
            f'foreign answers = {tally.foreign}',
        )
        print_line(f'outcomes {dict(tally.outcomes)}')


def main() -> int:
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(prog='demo')
    parser.add_argument(
        '--keep-running',
        action='store_true',
        help='start the fleet and leave it running until Ctrl-C',
    )
    keep_running = parser.parse_args().keep_running
    started_at = time.monotonic()
    second_octet = 16 + os.getpid() % 200
    with tempfile.TemporaryDirectory(prefix='egretmill-demo-') as folder:
        fleet = Fleet(pathlib.Path(folder), second_octet, drain_s=0.5)
        try:
            demo = Demo(fleet)
            asyncio.run(demo.keep_running() if keep_running else demo.run())
        except KeyboardInterrupt:
            print_line('stopping')
        finally:
            statuses = fleet.stop()
        failed_processes = fleet.find_failures(statuses)
        for name, status in failed_processes.items():
            demo.failures.append(f'{name} ended with status {status}')
            print_line(fleet.log_tail(name))
    for failure in demo.failures:
        print_line(f'FAILED: {failure}')
    worker_count = sum(service.workers for service in SERVICES)
    print_line(
        f'{len(fleet.hosts)} hosts, {worker_count} upstreams, '
        f'{time.monotonic() - started_at:.1f} s',
    )
    return 1 if demo.failures else 0


if __name__ == '__main__':
    sys.exit(main())
