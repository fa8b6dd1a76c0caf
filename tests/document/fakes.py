"""In-memory platform with faults at chosen calls, and sample documents."""

import asyncio
import copy
import dataclasses
import pathlib
import tomllib
from collections.abc import Sequence

from result import Err, Ok, Result

from egretmill.document import body_digest
from egretmill.errors import ErrorKind, Failure
from egretmill.store import Put, Row

__all__ = ('AgentKilled', 'Clock', 'FakeStore', 'Fault', 'edited', 'sample')

TESTS = pathlib.Path(__file__).parents[1]
EXAMPLE = TESTS.parent / 'docs/examples/environment.toml'
CALL_TIMEOUT_S = 0.5
#: Time that a call takes under a fault.
DURATIONS_S = {
    'down': CALL_TIMEOUT_S,
    'late': CALL_TIMEOUT_S,
    'lost': CALL_TIMEOUT_S,
    'slow': 0.45,
    'paused': 120.0,
}


def sample() -> str:
    """Return the text of the example in the documentation."""
    return EXAMPLE.read_text()


def edited(old: str, new: str) -> bytes:
    """Return the example with one piece of text replaced."""
    return edited_by([(old, new)])


def edited_by(edits: Sequence[Sequence[str]], path: pathlib.Path = EXAMPLE):
    """Return an example with all occurrences of some texts replaced."""
    text = path.read_text()
    for old, new in edits:
        assert old in text, old
        text = text.replace(old, new)
    return text.encode()


def load_cases(name: str) -> list[dict]:
    """Return the cases of a file below ``tests``."""
    return tomllib.loads((TESTS / name).read_text())['case']


class Clock:
    """Virtual monotonic clock that sleeping advances."""

    def __init__(self) -> None:
        """Start at a time other than zero."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now

    async def sleep(self, duration_s: float) -> None:
        """Advance the time and let other tasks run."""
        self.now += duration_s
        await asyncio.sleep(0)


class AgentKilled(Exception):
    """The process that made the call has ended."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault that affects calls of one step.

    ``down``: no effect, no answer. ``lost``: the effect without the answer.
    ``late``: like ``down`` now, but a write takes effect ``delay_calls``
    calls later. ``slow``: the answer takes most of the deadline. ``paused``:
    the caller sleeps for two minutes after the answer. ``stale``: a read
    returns the row before the last write. ``damaged``: a read returns other
    bytes. ``rival``: another operator promotes before the call. ``killed``
    and ``killed after``: the caller is killed before or after the effect.

    The first ``skip`` calls are not affected, the next ``times`` calls are.
    """

    step: str
    kind: str
    times: int = 1000000
    skip: int = 0
    delay_calls: int = 2


class FakeStore:
    """In-memory store of rows and objects, with compare-and-set.

    The names of the steps are ``get <key>``, ``get object``, ``put object``
    and ``put rows``, after the prefix of the caller.
    """

    def __init__(self, clock: Clock, faults: Sequence[Fault] = ()) -> None:
        """Start empty."""
        self.clock = clock
        self.prefix = ''
        self.rows: dict[str, Row] = {}
        self.previous: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.faults: dict[str, list] = {}
        self.late: list[list] = []
        self.calls: list[str] = []
        self.rival = None
        self.switch_faults(*faults)

    def switch_faults(self, *faults: Fault) -> None:
        """Replace all faults."""
        self.faults.clear()
        for fault in faults:
            self.faults[fault.step] = [fault, fault.skip, fault.times]

    def view(self, prefix: str) -> 'FakeStore':
        """Return a view of the same platform whose steps have a prefix."""
        seen = copy.copy(self)
        seen.prefix = prefix
        return seen

    async def get_row(self, key: str) -> Result[Row | None, Failure]:
        """Return a row."""
        return await self.run(
            f'get {key}',
            lambda: Ok(self.rows.get(key, None)),
            stale=lambda: Ok(self.previous.get(key, None)),
            damaged=Ok(Row(1, '{"version": ')),
        )

    async def put_row(
        self,
        key: str,
        expected_version: int,
        body: str,
    ) -> Result[Row, Failure]:
        """Write a row if its version is the expected one."""
        written = await self.put_rows([Put(key, expected_version, body)])
        return written.map(lambda _: Row(expected_version + 1, body))

    async def put_rows(self, puts: Sequence[Put]) -> Result[None, Failure]:
        """Write all rows or none."""
        return await self.run('put rows', lambda: self.apply(puts))

    async def get_object(self, digest: str) -> Result[bytes, Failure]:
        """Return an object."""

        def read():
            found = self.objects.get(digest, None)
            if found is None:
                return Err(Failure(ErrorKind.NOT_FOUND, digest))
            return Ok(found)

        # A valid document too, so that only the digest shows the damage.
        damaged = Ok(sample().encode() + b'# damaged')
        return await self.run('get object', read, damaged=damaged)

    async def put_object(self, body: bytes) -> Result[str, Failure]:
        """Store an object."""

        def store():
            self.objects[body_digest(body)] = body
            return Ok(body_digest(body))

        return await self.run('put object', store)

    def apply(self, puts: Sequence[Put]) -> Result[None, Failure]:
        """Apply all writes or none."""
        for put in puts:
            found = self.rows.get(put.key, Row(0, ''))
            if found.version != put.expected_version:
                return Err(Failure(ErrorKind.VERSION_CONFLICT, put.key))
        self.previous.update(self.rows)
        for put in puts:
            self.rows[put.key] = Row(put.expected_version + 1, put.body)
        return Ok(None)

    async def run(self, step, effect, *, stale=None, damaged=None):
        """Make one call under the fault of its step.

        A call without a stale or damaged form runs as usual.
        """
        await asyncio.sleep(0)
        self.calls.append(self.prefix + step)
        self.apply_late()
        fault = self.next_fault(self.prefix + step)
        kind = fault.kind if fault else ''
        match kind:
            case 'rival':
                await self.rival()
            case 'killed':
                raise AgentKilled(step)
            case 'damaged':
                return damaged or effect()
            case 'stale':
                return (stale or effect)()
            case 'late' if damaged is None:
                self.late.append([fault.delay_calls, effect])
        outcome = None if kind in {'down', 'late'} else effect()
        if kind == 'killed after':
            raise AgentKilled(step)
        self.clock.now += DURATIONS_S.get(kind, 0)
        if kind in {'down', 'late', 'lost'}:
            detail = f'{step}: timeout'
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        return outcome

    def apply_late(self, *, every: bool = False) -> None:
        """Apply the delayed writes that are due, or all of them."""
        for entry in list(self.late):
            entry[0] -= 1
            if entry[0] <= 0 or every:
                self.late.remove(entry)
                entry[1]()

    def next_fault(self, step: str) -> Fault | None:
        """Return the fault that affects this call, if any."""
        found = self.faults.get(step, self.faults.get('any', None))
        if found is None:
            return None
        fault, skip, times = found
        if skip:
            found[1] -= 1
            return None
        found[2] -= 1
        return fault if times > 0 else None
