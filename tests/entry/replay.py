"""Replays a trace (JSON Lines) against an entry program in the test process.

Each line is one event at a time in seconds, from the start or from the end
of the step that ``after`` names; ``do`` names a method of :class:`Replay`.
``expect`` holds the expected fields of the method's
result: a value, or a bound when the field begins with ``most`` or
``least``. An event that does not end as expected becomes a failure.
"""

import asyncio
import collections
import pathlib
import time

import msgspec

from bench.request_matrix import AgentStandin
from egretmill.ledger import ClaimService
from standins.upstream import Faults
from tests.entry.harness import KEY, EntryHarness, running_entry
from tests.fakes import FakeStore, FakeTable

#: Status of a served request.
HTTP_OK = 200
TRACES = pathlib.Path(__file__).with_name('traces')


class Event(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a trace."""

    at: float
    do: str
    step: str = ''
    after: str = ''
    name: str = ''
    request: str = ''
    headers: dict[str, str] = {}
    body: str = ''
    per_s: float = 0
    for_s: float = 0
    faults: Faults | None = None
    replace: list[tuple[str, str]] = []
    state: str = 'live'
    service: str = ''
    site: str = ''
    expect: dict[str, int | float | str] = {}


class Replay:
    """One run of a trace."""

    def __init__(self, entry: EntryHarness) -> None:
        """Replace the agent by a stand-in with claims over a fake table."""
        self.entry = entry
        self.failures: list[str] = []
        self.served_before: dict[str, int] = {}
        self.ended: dict[str, asyncio.Event] = collections.defaultdict(
            asyncio.Event
        )
        self.connections: dict[str, tuple] = {}
        store = FakeStore(FakeTable())
        claims = ClaimService(store, 'host-1', 1, lambda *_: True)
        entry.program.service.agent = AgentStandin(claims)

    async def run(self, event: Event) -> None:
        """Carry out one event at its time and check its result."""
        if event.after:
            await self.ended[event.after].wait()
        await asyncio.sleep(event.at)
        observed = await getattr(self, event.do)(event) or {}
        self.ended[event.step].set()
        for field, expected in event.expect.items():
            measured = observed.get(field)
            limit, _, name = field.partition(' ')
            if limit in {'most', 'least'}:
                measured = observed.get(name, 0)
                is_met = (
                    measured <= expected
                    if limit == 'most'
                    else measured >= expected
                )
            else:
                is_met = measured == expected
            if not is_met:
                self.failures.append(
                    f'{event}: {field} is {measured}, observed {observed}'
                )

    async def send(self, event: Event) -> dict:
        """Make one request."""
        method, path = event.request.split()
        answer = await self.entry.fetch(
            path,
            method=method,
            headers=event.headers,
            body=event.body.encode() if method == 'POST' else None,
        )
        return {
            'status': answer.code,
            'outcome': answer.headers['X-Egretmill-Outcome'],
            'again': int('X-Egretmill-Repeat' in answer.headers),
        }

    async def load(self, event: Event) -> dict:
        """Make requests at a constant rate.

        Returns the fraction that was served and the attempts per request.
        """
        count = int(event.per_s * event.for_s)
        before = self.attempts()
        sent = [
            self.run_later(number / event.per_s, event)
            for number in range(count)
        ]
        answers = await asyncio.gather(*sent)
        statuses = [answer['status'] for answer in answers]
        return {
            'served_part': statuses.count(HTTP_OK) / count,
            'failed': [
                answer for answer in answers if answer['status'] != HTTP_OK
            ],
            'attempts_part': (self.attempts() - before) / count,
        }

    async def run_later(self, delay_s: float, event: Event) -> dict:
        """Make one request of a load."""
        await asyncio.sleep(delay_s)
        return await self.send(event)

    def attempts(self) -> int:
        """Return how many requests upstreams have served or shed."""
        upstreams = self.entry.upstreams.values()
        return sum(up.served + up.shed for up in upstreams)

    async def stall(self, event: Event) -> None:
        """Keep the process from running, as a busy machine does."""
        time.sleep(event.for_s)

    async def ask(self, event: Event) -> dict:
        """Make a request on a named connection, which is kept open."""
        if event.name not in self.connections:
            opened = await asyncio.open_connection('127.0.0.1', self.entry.port)
            self.connections[event.name] = opened
        reader, writer = self.connections[event.name]
        lines = f'{event.request} HTTP/1.1\r\nHost: x\r\nX-Api-Key: {KEY}'
        writer.write(f'{lines}\r\n\r\n'.encode())
        received = await asyncio.wait_for(reader.readuntil(b'}'), 2)
        return {'status': int(received.split(b' ')[1])}

    async def set_faults(self, event: Event) -> None:
        """Replace the fault switches of an upstream."""
        self.entry.upstreams[event.name].faults = event.faults or Faults()

    async def kill(self, event: Event) -> None:
        """Close an upstream."""
        await self.entry.kill(event.name)

    async def revive(self, event: Event) -> None:
        """Restart a killed upstream."""
        self.entry.revive(event.name)

    async def add(self, event: Event) -> None:
        """Add an upstream to the host list."""
        self.entry.add_upstream(event.service, event.name, event.site)
        self.entry.apply()

    async def promote(self, event: Event) -> None:
        """Put a document with replaced texts in force."""
        text = self.entry.text
        for old, new in event.replace:
            assert old in text, old
            text = text.replace(old, new)
        self.entry.apply(text)

    async def list_as(self, event: Event) -> None:
        """Change the state of an upstream in the host list."""
        records = self.entry.records
        records[event.name] = msgspec.structs.replace(
            records[event.name],
            state=event.state,
        )
        self.entry.apply(upstreams_digest=f'{event.name} {event.state}')

    async def unconfirm(self, event: Event) -> None:
        """Make the last confirmation of the version too old."""
        self.entry.apply(confirmed_at=self.entry.state.now() - 6)

    async def note(self, event: Event) -> None:
        """Record how many requests an upstream has served."""
        self.served_before[event.name] = self.entry.upstreams[event.name].served

    async def new_work(self, event: Event) -> dict:
        """Return the number of requests served since :meth:`note`."""
        served = self.entry.upstreams[event.name].served
        return {'work': served - self.served_before.get(event.name, 0)}

    async def executions(self, event: Event) -> dict:
        """Return how often upstreams executed a marked request."""
        return {'runs': self.entry.executions(event.name)}


def load_trace(name: str) -> list[Event]:
    """Read the events of a trace."""
    text = (TRACES / f'{name}.jsonl').read_bytes()
    return msgspec.json.Decoder(Event).decode_lines(text)


async def replay(name: str) -> list[str]:
    """Replay a trace and return the events that did not end as expected."""
    async with running_entry() as entry:
        run = Replay(entry)
        await asyncio.gather(*(run.run(event) for event in load_trace(name)))
        if entry.state.running_requests:
            run.failures.append('a request still runs')
        return run.failures
