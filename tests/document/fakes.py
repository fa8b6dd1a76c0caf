"""In-memory platform with faults at chosen calls, and sample documents."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Sequence

from result import Err, Ok, Result

from egretmill.document import body_digest
from egretmill.errors import ErrorKind, Failure
from egretmill.store import Put, Row

__all__ = ('Clock', 'FakeStore', 'Fault', 'edited', 'sample')

EXAMPLE = pathlib.Path(__file__).parents[2] / 'docs/examples/environment.toml'
CALL_TIMEOUT_S = 0.5


def sample() -> str:
    """Return the text of the documented example."""
    return EXAMPLE.read_text()


def edited(old: str, new: str) -> bytes:
    """Return the example with one passage replaced."""
    text = sample()
    assert text.count(old) == 1, old
    return text.replace(old, new).encode()


class Clock:
    """Virtual monotonic time; sleeping moves it."""

    def __init__(self) -> None:
        """Start at a time other than zero."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now

    async def sleep(self, duration_s: float) -> None:
        """Pass time and let other tasks run."""
        self.now += duration_s
        await asyncio.sleep(0)


@dataclasses.dataclass(frozen=True)
class Fault:
    """What happens to calls of one step.

    ``down``: no effect, no answer. ``lost``: the effect without the answer.
    ``late``: like ``down`` now, but a write takes effect ``delay_calls``
    calls later. ``times`` limits how many calls are hit.
    """

    step: str
    kind: str
    times: int = 1000000
    delay_calls: int = 2


class FakeStore:
    """Tables and objects with compare-and-set, as the port describes."""

    def __init__(self, clock: Clock, faults: Sequence[Fault] = ()) -> None:
        """Start empty."""
        self.clock = clock
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.faults = {fault.step: [fault, fault.times] for fault in faults}
        self.late: list[list] = []
        self.calls: list[str] = []

    async def get_row(self, key: str) -> Result[Row | None, Failure]:
        """Return a row."""
        return await self.run(
            f'get {key}',
            lambda: Ok(self.rows.get(key, None)),
            writes=False,
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

        return await self.run('get object', read, writes=False)

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
        for put in puts:
            self.rows[put.key] = Row(put.expected_version + 1, put.body)
        return Ok(None)

    async def run(self, step, effect, *, writes=True):
        """Make one call under the faults of its step."""
        await asyncio.sleep(0)
        self.calls.append(step)
        self.apply_late()
        fault = self.fault_of(step)
        if fault is None:
            return effect()
        self.clock.now += CALL_TIMEOUT_S
        if fault.kind == 'lost':
            effect()
        if fault.kind == 'late' and writes:
            self.late.append([fault.delay_calls, effect])
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, f'{step}: timeout'))

    def apply_late(self) -> None:
        """Let delayed writes take effect when their call count is up."""
        for entry in list(self.late):
            entry[0] -= 1
            if entry[0] <= 0:
                self.late.remove(entry)
                entry[1]()

    def fault_of(self, step: str) -> Fault | None:
        """Return the fault that hits this call, if any."""
        found = self.faults.get(step) or self.faults.get('any')
        if found is None or not found[1]:
            return None
        found[1] -= 1
        return found[0]
