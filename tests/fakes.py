"""In-memory table service with injected faults, for virtual or real time."""

import asyncio
import dataclasses
from collections.abc import Callable

from result import Err, Ok

from egretmill.errors import ErrorKind, Failure
from egretmill.store.ports import Put, Row

TIMEOUT_S = 0.5
UNAVAILABLE = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, 'fake'))


class FakeTable:
    """The table of the service; records every write that it applies."""

    def __init__(self):
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.history: list[Put] = []
        self.transactions = 0
        self.reads = 0

    def apply(self, puts):
        """Apply all writes or none; return the keys that conflict."""
        keys = [put.key for put in puts]
        assert len(keys) == len(set(keys)), 'a key twice in a transaction'
        conflicts = [
            put.key
            for put in puts
            if self.version_of(put.key) != put.expected_version
        ]
        if not conflicts:
            for put in puts:
                self.rows[put.key] = Row(put.expected_version + 1, put.body)
                self.history.append(put)
        return conflicts

    def version_of(self, key):
        """Return the version of a row, 0 when absent."""
        return self.rows[key].version if key in self.rows else 0


@dataclasses.dataclass
class Fault:
    """Delays and fault of one call.

    ``request_s`` passes before the call takes effect and ``answer_s``
    after it. ``refused``: no effect and no answer. ``lost``: effect, but
    no answer.
    """

    request_s: float = 0.001
    answer_s: float = 0.001
    refused: bool = False
    lost: bool = False


@dataclasses.dataclass
class Switches:
    """Faults of one host that last until they are switched off.

    ``paused_until``: the host neither sends nor receives before this time.
    """

    down: bool = False
    slow_s: float = 0
    lose_answers: int = 0
    lose_reads: int = 0
    paused_until: float = 0


class FakeStore:
    """The table service as one host reaches it.

    A call that misses its deadline may still take effect later.
    """

    def __init__(self, table, next_fault: Callable[[], Fault] = Fault):
        """Reach a table; ``next_fault`` returns the fault of each call."""
        self.table = table
        self.next_fault = next_fault
        self.switches = Switches()
        self.running_calls = set()

    async def get_row(self, key):
        """Return a row, ``None`` when absent."""
        fault = self.take_fault()
        if self.switches.lose_reads:
            self.switches.lose_reads -= 1
            fault.lost = True

        def read():
            self.table.reads += 1
            return Ok(self.table.rows.get(key))

        return await self.call(read, fault)

    async def put_row(self, key, expected_version, body):
        """Write a row if its version is the expected one."""
        written = await self.put_rows([Put(key, expected_version, body)])
        return written.map(lambda _: Row(expected_version + 1, body))

    async def put_rows(self, puts):
        """Write all rows or none."""
        fault = self.take_fault()
        if self.switches.lose_answers:
            self.switches.lose_answers -= 1
            fault.lost = True

        def write():
            self.table.transactions += 1
            conflicts = self.table.apply(puts)
            if conflicts:
                detail = ' '.join(conflicts)
                return Err(Failure(ErrorKind.VERSION_CONFLICT, detail))
            return Ok(None)

        return await self.call(write, fault)

    def take_fault(self):
        """Return the fault of the next call, with the switches applied."""
        fault = self.next_fault()
        fault.refused = fault.refused or self.switches.down
        fault.request_s += self.switches.slow_s
        return fault

    async def call(self, work, fault):
        """Make a call with a fault and a deadline."""
        await self.wait_until_resumed()
        task = asyncio.create_task(carry_out(work, fault))
        self.running_calls.add(task)
        task.add_done_callback(self.running_calls.discard)
        await asyncio.wait({task}, timeout=TIMEOUT_S)
        await self.wait_until_resumed()
        return task.result() if task.done() else UNAVAILABLE

    async def wait_until_resumed(self):
        """Wait until the host is no longer paused."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.switches.paused_until:
            await asyncio.sleep(self.switches.paused_until - loop.time())


async def carry_out(work, fault):
    """Apply the effect of a call between its delays."""
    if fault.refused:
        return UNAVAILABLE
    await asyncio.sleep(fault.request_s)
    answer = work()
    await asyncio.sleep(fault.answer_s)
    return UNAVAILABLE if fault.lost else answer
