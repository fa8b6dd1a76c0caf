"""Fault matrix of one request through the entry program.

``python -m bench.request_matrix`` runs every fault at every step for each
kind of request and prints one line per step and fault with one column per
kind. It ends with status 1 when a rule is broken. A column reads
``first > repeat xN``: what the caller got, what a repeat got after the fault
was cleared, and how often upstreams executed the request before the repeat.
"""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import json
import logging
import sys
from unittest import mock

from result import Err, Ok
from tornado import web
from tornado.httputil import HTTPHeaders, parse_response_start_line

from egretmill.entry import service as entry_service
from egretmill.entry.exchange import Exchange
from egretmill.entry.program import EntryProgram
from egretmill.errors import ErrorKind, Failure
from egretmill.ledger import ClaimService
from egretmill.quota.concurrency import ConcurrencyHolding
from egretmill.wire.messages import Claim
from standins import upstream as standin
from tests.entry import harness
from tests.fakes import FakeStore, FakeTable, Switches

__all__ = ('FAULTS', 'KINDS', 'STEPS', 'Cell', 'all_cells', 'main')

STEPS = (
    'accepted',
    'claimed',
    'admitted',
    'sent',
    'first byte',
    'last byte',
    'recorded',
)
FAULTS = (
    'entry killed',
    'entry paused',
    'caller gone',
    'agent unreachable',
    'store down',
    'store slow',
    'store answer lost',
    'upstream killed',
    'upstream silent',
    'upstream sheds',
    'upstream draining',
    'upstream cold',
    'answer cut',
    'late answer',
    'site lost',
    'key withdrawn',
    'configuration changed',
)
#: Kind of request: method and path.
KINDS = {
    'read': 'GET /board',
    'plain': 'POST /ledger',
    'keyed': 'POST /ledger',
    'ticket': 'POST /ledger',
    'upload': 'POST /intake',
}
ONCE = ('keyed', 'ticket')
UPLOAD_BYTES = 200000
MARK = 'first'
AT_ONCE = 24
DEADLINE_MS = 1500
# Faults that only the deadline ends.
SHORT_DEADLINE_MS = 800
PAST_DEADLINE_S = 1.1
WAITED_OUT = ('entry paused', 'upstream silent', 'late answer')
SETTLE_S = 4.0
POLL_S = 0.02
COLD_S = 0.1
SLOW_S = 1.0
UNREACHABLE = Err(Failure(ErrorKind.PEER_UNREACHABLE, 'matrix'))
WARM_REQUESTS = 30


@dataclasses.dataclass(frozen=True)
class Cell:
    """Outcome of a fault at a step and the rules that it broke."""

    outcome: str
    problems: tuple[str, ...] = ()


class AgentStandin:
    """Takes the place of the link to the agent."""

    def __init__(self, claims: ClaimService) -> None:
        """Start reachable."""
        self.claims = claims
        self.down = False

    async def call(self, message, timeout_s: float):
        """Carry out a claim or a record."""
        if self.down:
            await asyncio.sleep(min(timeout_s, 0.1))
            return UNREACHABLE
        try:
            async with asyncio.timeout(timeout_s):
                if isinstance(message, Claim):
                    return Ok(await self.claims.claim(message))
                return await self.claims.record(message)
        except TimeoutError:
            return UNREACHABLE


class SteppedExchange(Exchange):
    """Reports the steps of the marked request."""

    async def run(self):
        """Report the end of the claim."""
        await self.state.reach('claimed', self)
        return await super().run()

    async def call_upstream(self, grant):
        """Report the admission."""
        self.state.target = grant.upstream.name
        await self.state.reach('admitted', self)
        return await super().call_upstream(grant)

    async def run_attempt(self, grant):
        """Report the whole answer."""
        ended = await super().run_attempt(grant)
        if isinstance(ended, Ok):
            await self.state.reach('last byte', self)
        return ended


class SteppedWork(standin.WorkHandler):
    """Stops the marked request at steps and applies faults to it."""

    async def work(self, *_path: str) -> None:
        """Serve in two halves, with a fault where it was set."""
        run = self.upstream.run
        mark = self.request.headers.get(standin.MARK_HEADER, '')
        if not run.first_phase or mark != MARK:
            await super().work()
            return
        if run.takes('upstream sheds'):
            self.set_status(503)
            self.finish({})
            return
        await self.upstream.execute(mark)
        await run.reach('sent')
        await self.apply_fault(run)
        if not self._finished:
            await self.answer_in_halves(run, mark)

    async def apply_fault(self, run: 'CellRun') -> None:
        """Apply the fault of the cell if it has not struck elsewhere."""
        await run.hold_back()
        if run.takes('upstream draining'):
            self.set_header('X-Draining', '1')
        if run.takes('upstream sheds'):
            self.set_status(503)
            self.finish({})
        if run.takes('answer cut'):
            await self.cut()
            self._finished = True

    async def answer_in_halves(self, run: 'CellRun', mark: str) -> None:
        """Send the answer, with the step of the first byte inside."""
        whole = json.dumps({'work_id': mark}).encode()
        self.set_header('Content-Length', str(len(whole)))
        self.write(whole[:5])
        await self.flush()
        await run.reach('first byte')
        if run.takes('answer cut'):
            self.request.connection.detach().close()
            self._finished = True
            return
        await run.hold_back()
        self.finish(whole[5:])

    get = work
    post = work


def stepped_application(upstream: standin.Upstream) -> web.Application:
    """Return an upstream whose requests stop at the steps."""
    return web.Application(
        [('(/.*)', SteppedWork, {'upstream': upstream})],
        log_function=lambda handler: None,
    )


class Strikes:
    """Faults that are not the upstream's own, by their names."""

    @staticmethod
    async def entry_killed(run: 'CellRun') -> None:
        """End the entry program as a kill does and start another one."""
        old = run.entry.program
        old.state.spawn = lambda work: work.close()
        old.http.stop()
        run.killing = asyncio.create_task(old.http.close_all_connections())
        for task in run.tasks - {asyncio.current_task()}:
            task.cancel()
        run.claims.handle_entry_exit()
        program = EntryProgram(old.settings)
        run.entry.program = program
        program.state.incarnation = old.state.incarnation + 1
        program.service.ticket_registry.incarnation = program.state.incarnation
        program.service.agent = run.link
        run.entry.listen()
        run.hook()
        if asyncio.current_task() in run.tasks:
            raise asyncio.CancelledError

    @staticmethod
    async def entry_paused(run: 'CellRun') -> None:
        """Let the lease and the deadline pass."""
        run.entry.apply(slot=None)
        await asyncio.sleep(PAST_DEADLINE_S)

    @staticmethod
    async def caller_gone(run: 'CellRun') -> None:
        """Close the caller's connection."""
        run.caller.writer.close()
        await asyncio.sleep(COLD_S)

    @staticmethod
    async def agent_unreachable(run: 'CellRun') -> None:
        """Let calls to the agent fail."""
        run.link.down = True

    @staticmethod
    async def store_down(run: 'CellRun') -> None:
        """Let the store refuse all calls."""
        run.store.switches.down = True

    @staticmethod
    async def store_slow(run: 'CellRun') -> None:
        """Let the store answer after its deadline."""
        run.store.switches.slow_s = SLOW_S

    @staticmethod
    async def store_answer_lost(run: 'CellRun') -> None:
        """Lose the answer of the next write."""
        run.store.switches.lose_answers = 1

    @staticmethod
    async def upstream_killed(run: 'CellRun') -> None:
        """Close the upstream that was chosen."""
        await run.entry.kill(run.entry.state.target)

    @staticmethod
    async def site_lost(run: 'CellRun') -> None:
        """Close all upstreams."""
        for name in run.entry.servers:
            await run.entry.kill(name)

    @staticmethod
    async def key_withdrawn(run: 'CellRun') -> None:
        """Put a version without the key in force."""
        text = run.entry.text
        begin = text.index('{ digest')
        run.kept_text = text
        run.entry.apply(text[:begin] + text[text.index('}', begin) + 1 :])

    @staticmethod
    async def configuration_changed(run: 'CellRun') -> None:
        """Put a version with another burst in force."""
        text = run.entry.text
        run.entry.apply(text.replace('burst = 200', 'burst = 150'))


class Caller:
    """Sends requests of one kind and reads what comes back."""

    def __init__(self, entry: harness.EntryHarness, kind: str) -> None:
        """Start without a connection."""
        self.entry = entry
        self.kind = kind
        self.ticket = 'instalment'
        self.writer: asyncio.StreamWriter | None = None
        self.problems: list[str] = []

    async def fetch_ticket(self) -> None:
        """Get a ticket of the entry program as idempotency key."""
        answer = await self.entry.fetch('/v1/tickets', method='POST', body=b'')
        self.ticket = json.loads(answer.body)['ticket']

    async def request(self, mark: str, limit_ms: int = DEADLINE_MS) -> str:
        """Send a request and return what its caller sees."""
        size = UPLOAD_BYTES if self.kind == 'upload' else 2
        body = b'' if self.kind == 'read' else b'x' * size
        lines = [
            f'{KINDS[self.kind]} HTTP/1.1',
            'Host: x',
            'Connection: close',
            f'X-Api-Key: {harness.KEY}',
            f'X-Work-Id: {mark}',
            f'X-Deadline-Ms: {limit_ms}',
            f'Content-Length: {len(body)}',
        ]
        if self.kind in ONCE:
            key = self.ticket if mark == MARK else mark
            lines.append(f'Idempotency-Key: {key}')
        head = '\r\n'.join([*lines, '', '']).encode()
        reader, writer = await asyncio.open_connection(
            harness.ADDRESS,
            self.entry.port,
        )
        self.writer = writer
        writer.write(head + body)
        received = b''
        with contextlib.suppress(TimeoutError, ConnectionError):
            received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return self.verdict(received, mark)

    def verdict(self, received: bytes, mark: str) -> str:
        """Return status and outcome of a whole answer, else ``cut``."""
        head, _, body = received.partition(b'\r\n\r\n')
        line, _, fields = head.decode().partition('\r\n')
        if not line:
            return 'cut'
        headers = HTTPHeaders.parse(fields)
        if len(body) != int(headers.get('Content-Length', '-1')):
            return 'cut'
        code = parse_response_start_line(line).code
        if code == 200 and json.loads(body)['work_id'] != mark:
            self.problems.append('answer of another request')
        again = ' again' if 'X-Egretmill-Repeat' in headers else ''
        outcome = headers.get('X-Egretmill-Outcome', 'no outcome')
        return f'{code} {outcome}{again}'


PATCHES = (
    (entry_service, 'Exchange', SteppedExchange),
    (standin, 'make_application', stepped_application),
)


class CellRun:
    """One cell: a request, a fault, a repeat and a further request."""

    def __init__(self, step: str, fault: str, kind: str) -> None:
        """Lay out a host with its claims."""
        self.step = step
        self.fault = fault
        self.kind = kind
        self.first_phase = True
        self.struck = False
        self.misbehaved = False
        self.cleared = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.entry = harness.EntryHarness()
        self.caller = Caller(self.entry, kind)
        self.problems = self.caller.problems
        self.kept_text: str | None = None
        self.store = FakeStore(FakeTable())
        self.claims = ClaimService(self.store, 'host-1', 1, lambda *_: True)
        self.link = AgentStandin(self.claims)
        self.entry.program.service.agent = self.link

    @property
    def service(self) -> str:
        """Return the service of the kind of request."""
        return KINDS[self.kind].rpartition('/')[2]

    async def play(self) -> Cell:
        """Run the cell."""
        self.entry.start()
        for upstream in self.entry.upstreams.values():
            upstream.run = self
        self.hook()
        await asyncio.sleep(harness.SHARE_WAIT_S)
        try:
            outcome = await self.compare()
        finally:
            await self.claims.close()
            await self.entry.stop()
        return Cell(outcome, tuple(self.problems))

    async def compare(self) -> str:
        """Make the request, its repeat and a further request."""
        first = await self.make_first()
        before = self.entry.executions(MARK)
        repeat = await self.caller.request(MARK)
        self.check_runs(first, repeat, before)
        further = await self.caller.request('next')
        if further != '200 ran':
            self.problems.append(f'next request: {further}')
        await self.settle()
        return f'{first} > {repeat} x{before}'

    async def make_first(self) -> str:
        """Make the request under the fault, then end the fault."""
        if self.kind == 'ticket':
            await self.caller.fetch_ticket()
        waited_out = self.fault in WAITED_OUT
        limit_ms = SHORT_DEADLINE_MS if waited_out else DEADLINE_MS
        first = await self.caller.request(MARK, limit_ms)
        if self.step == 'recorded':
            await self.settle()
            await self.reach('recorded')
        await self.clear()
        await self.settle()
        return first

    def hook(self) -> None:
        """Follow the steps of the entry program that runs now."""
        state = self.entry.state
        state.reach = self.reach_exchange
        state.target = f'{self.service}-1'
        for _ in range(WARM_REQUESTS):
            state.retry_budget.record_request(self.service, state.now())
        service = self.entry.program.service
        service.dispatch = functools.partial(self.accept, service.dispatch)

    async def accept(self, dispatch, caller, *others):
        """Report that a request was accepted."""
        self.tasks.add(asyncio.current_task())
        if caller.headers.get(standin.MARK_HEADER) == MARK:
            await self.reach('accepted')
        return await dispatch(caller, *others)

    async def reach_exchange(self, step: str, exchange: Exchange) -> None:
        """Arrive at a step inside the entry program."""
        if exchange.caller.headers.get(standin.MARK_HEADER) == MARK:
            await self.reach(step)

    async def reach(self, step: str) -> None:
        """Arrive at a step; the fault strikes there once."""
        if step != self.step or self.struck or not self.first_phase:
            return
        self.struck = True
        strike = getattr(Strikes, self.fault.replace(' ', '_'), None)
        if strike is not None:
            await strike(self)

    def takes(self, fault: str) -> bool:
        """Tell whether the fault applies to this attempt, once."""
        if self.fault != fault or not self.struck or self.misbehaved:
            return False
        self.misbehaved = True
        return True

    async def hold_back(self) -> None:
        """Let an upstream that is silent, late or cold wait."""
        if self.takes('upstream silent'):
            await self.cleared.wait()
        if self.takes('late answer'):
            await asyncio.sleep(PAST_DEADLINE_S)
        if self.takes('upstream cold'):
            await asyncio.sleep(COLD_S)

    async def clear(self) -> None:
        """End the fault."""
        self.first_phase = False
        self.cleared.set()
        self.link.down = False
        self.store.switches = Switches()
        entry = self.entry
        for name in entry.killed:
            entry.revive(name)
        entry.killed.clear()
        entry.apply(self.kept_text)
        await asyncio.sleep(harness.SHARE_WAIT_S)

    async def settle(self) -> None:
        """Wait until nothing runs; report what stays taken."""
        for _ in range(int(SETTLE_S / POLL_S)):
            left = taken(self.entry.program)
            if not left:
                return
            await asyncio.sleep(POLL_S)
        self.problems.append(f'still taken: {left}')

    def check_runs(self, first: str, repeat: str, before: int) -> None:
        """Check the executions against what the callers were told."""
        runs = self.entry.executions(MARK)
        if not self.struck:
            self.problems.append('the step was not reached')
        if self.kind != 'read' and before > 1:
            self.problems.append(f'{before} executions')
        if 'not-run' in first and before:
            self.problems.append('ran, but the caller was told not-run')
        if first.startswith('200') and not before:
            self.problems.append('an answer without an execution')
        if self.kind not in ONCE:
            return
        allowed = {'409 unknown', f'{first} again'}
        allowed.add('200 ran again' if before else '200 ran')
        if repeat not in allowed:
            self.problems.append(f'repeat got {repeat} after {before} runs')
        if runs > 1:
            self.problems.append(f'{runs} executions with the repeat')


def taken(program: EntryProgram) -> list[str]:
    """Return what a program counts as running, taken or left out."""
    state = program.state
    now = state.now()
    used = [
        name
        for name, held in state.holdings.by_total.items()
        if isinstance(held, ConcurrencyHolding) and held.used
    ]
    views = [
        name
        for name, view in state.table.views.items()
        if view.in_flight or not view.health.can_send(now)
    ]
    counts = {'requests': state.running_requests, 'tasks': len(state.tasks)}
    running = [f'{count} {name}' for name, count in counts.items() if count]
    return [*used, *views, *program.service.ticket_registry.running, *running]


async def run_cell(slots: asyncio.Semaphore, *place: str) -> Cell:
    """Run one cell when there is room."""
    async with slots:
        return await CellRun(*place).play()


async def all_cells() -> dict[tuple[str, str, str], Cell]:
    """Run all cells, a bounded number at once."""
    slots = asyncio.Semaphore(AT_ONCE)
    places = tuple(itertools.product(STEPS, FAULTS, KINDS))
    with contextlib.ExitStack() as patches:
        for module, name, stepped in PATCHES:
            patches.enter_context(mock.patch.object(module, name, stepped))
        cells = await asyncio.gather(
            *(run_cell(slots, *place) for place in places),
        )
    return dict(zip(places, cells, strict=True))


def main() -> None:
    """Print the table and the broken rules."""
    logging.disable(logging.CRITICAL)
    cells = asyncio.run(all_cells())
    print(' | '.join(('fault', 'step', *KINDS)))
    for fault, step in itertools.product(FAULTS, STEPS):
        row = [cells[step, fault, kind].outcome for kind in KINDS]
        print(' | '.join((fault, step, *row)))
    broken = 0
    for place, cell in cells.items():
        broken += len(cell.problems)
        if cell.problems:
            print(place, cell.problems, file=sys.stderr)
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
