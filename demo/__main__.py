"""The main job of the system on one machine, with stand-ins.

Seven entry hosts serve reads, non-idempotent writes and a streamed upload;
one host is killed on the way; a key is withdrawn while traffic runs.
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

from demo.callers import LOST, Callers
from demo.fleet import SERVICES, Fleet

SEED = 20261204
ACCOUNTS = ('tavisupleba', 'mtavari-dro', 'kviris-ambebi')
READS = 600
SWAPS = 120
UPLOAD_BYTES = 67108864
READY_LIMIT_S = 25.0
WITHDRAWN_LIMIT_S = 2.0
TEMPLATE = pathlib.Path(__file__).with_name('environment.toml')


def say(text: str) -> None:
    """Print a line of the demo."""
    print(text, flush=True)


def egretmill(*arguments: str) -> str:
    """Run the operators' command line and return its output."""
    ran = subprocess.run(
        [sys.executable, '-m', 'egretmill.cli.application', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    if ran.returncode:
        raise RuntimeError(f'{arguments}: {ran.stdout}{ran.stderr}')
    return ran.stdout


def make_accounts() -> tuple[dict[str, str], str]:
    """Create one key per client account.

    :returns: keys by account, and the account tables of the document.
    """
    keys = {}
    tables = []
    for account in ACCOUNTS:
        shown = egretmill('key', 'new', '--label', account)
        keys[account] = re.search('egk_[A-Za-z0-9_-]+', shown).group()
        digest = re.search('sha256:[0-9a-f]{64}', shown).group()
        tables.append(
            f'\n[[accounts]]\nname = "{account}"\nrate_per_s = 400\n'
            f'burst = 200\nkeys = [{{ digest = "{digest}" }}]\n',
        )
    return keys, ''.join(tables)


class Demo:
    """The steps of the demo on one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        """Prepare callers and documents."""
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
        await self.lose_a_host()
        await self.withdraw_key()
        await self.summarise()

    async def keep_running(self) -> None:
        """Start the fleet, print how to reach it and wait for Ctrl-C."""
        await self.start()
        await self.promote(self.text, 0)
        await self.wait_ready()
        host = self.fleet.hosts[0]
        operations = self.fleet.agent_urls()[1]
        say(f'key        {self.keys[ACCOUNTS[0]]}')
        say(f'look-ups   http://{host.address}:{host.steer_port}')
        say(f'requests   http://{host.address}:{host.entry_port}')
        say(f'operations {operations}')
        say(f'document   {self.fleet.folder}/environment-1.toml')
        say('Ctrl-C ends the fleet')
        await asyncio.Event().wait()

    def check(self, holds: bool, text: str) -> None:
        """Note a broken expectation."""
        if not holds:
            self.failures.append(text)

    async def start(self) -> None:
        """Start the stand-ins and the hosts."""
        self.fleet.start_standins()
        await self.post_hosts()
        for host in self.fleet.hosts:
            self.fleet.start_host(host)
        say(f'{len(self.fleet.processes)} processes started')

    async def post_hosts(self) -> None:
        """Give the platform stand-in its host list."""
        limit = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < limit:
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
        """Promote a document by the real command line."""
        path = self.fleet.folder / f'environment-{replaces + 1}.toml'
        path.write_text(text)
        egretmill('check', str(path))
        agent = self.fleet.agent_urls()
        began = time.monotonic()
        await asyncio.to_thread(
            egretmill,
            'promote',
            str(path),
            *agent,
            '--replaces',
            str(replaces),
            '--operator',
            'demo',
        )
        took = time.monotonic() - began
        say(f'version {replaces + 1} promoted in {took:.2f} s')

    async def wait_ready(self) -> None:
        """Wait until every host serves a read by the promoted version."""
        limit = time.monotonic() + READY_LIMIT_S
        key = self.keys[ACCOUNTS[0]]
        for host in self.fleet.hosts:
            url = f'http://{host.address}:{host.entry_port}/rota/0'
            while (await self.status_of(url, key)) != 200:
                if time.monotonic() > limit:
                    raise RuntimeError(f'{host.name} does not get ready')
                await asyncio.sleep(0.1)
        say('all hosts serve')

    async def status_of(self, url: str, key: str) -> int:
        """Return the status of one read."""
        answer = await self.callers.fetch(url, headers={'X-Api-Key': key})
        return answer.code

    async def serve_reads(self, count: int) -> None:
        """Serve idempotent reads of all client accounts."""
        keys = [self.keys[name] for name in ACCOUNTS]
        await self.callers.many(
            lambda number: self.callers.read(keys[number % len(keys)]),
            count,
            20,
        )
        say(f'{count} reads done')

    async def serve_swaps(self) -> None:
        """Serve writes, each posted twice under its idempotency key."""
        key = self.keys[ACCOUNTS[1]]
        await self.callers.many(
            lambda number: self.callers.swap(key, f'swap-{number // 2}'),
            SWAPS,
            10,
        )
        say(f'{SWAPS} swap posts done, each swap posted twice')

    async def serve_upload(self) -> None:
        """Stream one large file through the system."""
        key = self.keys[ACCOUNTS[2]]
        began = time.monotonic()
        answer, checksum = await self.callers.upload(key, UPLOAD_BYTES)
        took = time.monotonic() - began
        self.check(answer.code == 200, f'upload: status {answer.code}')
        if answer.code == 200:
            arrived = json.loads(answer.body)
            self.check(arrived['xxh3'] == checksum, 'upload: bytes differ')
        say(f'upload of {UPLOAD_BYTES >> 20} MiB done in {took:.2f} s')

    async def lose_a_host(self) -> None:
        """Kill one host while reads and writes go on."""
        reads = asyncio.create_task(self.serve_reads(READS // 2))
        await asyncio.sleep(0.1)
        lost = self.fleet.hosts[2]
        self.fleet.kill_host(lost)
        say(f'{lost.name} killed')
        await reads
        key = self.keys[ACCOUNTS[1]]
        await self.callers.many(
            lambda number: self.callers.swap(key, f'late-{number // 2}'),
            SWAPS // 4,
            10,
        )

    async def withdraw_key(self) -> None:
        """Withdraw a key by a second version and wait for its effect."""
        key = self.keys[ACCOUNTS[0]]
        first, _, rest = self.text.partition('keys = [')
        withdrawn = f'{first}keys = []{rest[rest.index("]") + 1 :]}'
        await self.promote(withdrawn, 1)
        began = time.monotonic()
        for host in self.fleet.hosts:
            url = f'http://{host.address}:{host.entry_port}/rota/0'
            while await self.status_of(url, key) == 200:
                if time.monotonic() - began > WITHDRAWN_LIMIT_S:
                    break
                await asyncio.sleep(0.02)
        took = time.monotonic() - began
        self.check(took <= WITHDRAWN_LIMIT_S, 'withdrawn key still works')
        say(f'key withdrawn everywhere {took:.2f} s after the promotion')

    async def summarise(self) -> None:
        """Compare what callers saw with what upstreams ran."""
        executions: dict[str, int] = {}
        keys_seen = 0
        for upstream in self.fleet.upstreams:
            url = f'http://{upstream.address}:{upstream.port}/executions'
            answer = await self.client.fetch(url)
            ran = json.loads(answer.body)
            keys_seen += ran['keys_seen']
            for mark, count in ran['executions'].items():
                executions[mark] = executions.get(mark, 0) + count
        writes = [
            count
            for mark, count in executions.items()
            if mark.startswith(('swap-', 'late-'))
        ]
        twice = sum(1 for count in writes if count > 1)
        tally = self.callers.tally
        self.check(twice == 0, 'a write ran twice')
        self.check(keys_seen == 0, 'an upstream saw a key')
        self.check(tally.foreign == 0, 'a caller got a foreign answer')
        self.check(tally.served > READS, 'too few requests were served')
        say(
            f'look-ups {tally.lookups}, served {tally.served}, '
            f'refused {tally.refused}, lost {tally.statuses[LOST]}, '
            f'writes {len(writes)}, ran twice = {twice}, '
            f'keys seen by upstreams = {keys_seen}, '
            f'foreign answers = {tally.foreign}',
        )
        say(f'outcomes {dict(tally.outcomes)}')


def main() -> int:
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(prog='demo')
    parser.add_argument(
        '--keep-running',
        action='store_true',
        help='start the fleet and leave it running until Ctrl-C',
    )
    keep = parser.parse_args().keep_running
    began = time.monotonic()
    net = 16 + os.getpid() % 200
    with tempfile.TemporaryDirectory(prefix='egretmill-demo-') as folder:
        fleet = Fleet(pathlib.Path(folder), net, drain_s=0.5)
        try:
            demo = Demo(fleet)
            asyncio.run(demo.keep_running() if keep else demo.run())
        except KeyboardInterrupt:
            say('stopping')
        finally:
            statuses = fleet.stop()
        unexpected = fleet.unexpected_ends(statuses)
        for name, status in unexpected.items():
            demo.failures.append(f'{name} ended with status {status}')
            say(fleet.log_tail(name))
    for failure in demo.failures:
        say(f'FAILED: {failure}')
    workers = sum(service.workers for service in SERVICES)
    say(
        f'{len(fleet.hosts)} hosts, {workers} upstreams, '
        f'{time.monotonic() - began:.1f} s',
    )
    return 1 if demo.failures else 0


if __name__ == '__main__':
    sys.exit(main())
