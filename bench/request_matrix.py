"""Fault matrix of one request through the entry program.

``python -m bench.request_matrix`` runs every fault at every step for each
kind of request. It prints one line per step and fault, with one column per
kind, and exits with status 1 when a check fails. A column reads
``first > repeat xN``: the answer to the request, the answer to a repeat after
the end of the fault, and how often upstreams executed the request before the
repeat.
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

__all__ = ('FAULTS', 'KINDS', 'STEPS', 'Cell', 'run_all_cells', 'main')

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
KINDS_WITH_KEY = ('keyed', 'ticket')
UPLOAD_BYTES = 200000
WORK_ID = 'first'
MAX_CONCURRENT_CELLS = 24
DEADLINE_MS = 1500
# Deadline under the faults that only the deadline ends.
SHORT_DEADLINE_MS = 800
PAST_DEADLINE_S = 1.1
FAULTS_PAST_DEADLINE = ('entry paused', 'upstream silent', 'late answer')
IDLE_LIMIT_S = 4.0
POLL_S = 0.02
SHORT_DELAY_S = 0.1
STORE_DELAY_S = 1.0
UNREACHABLE = Err(Failure(ErrorKind.PEER_UNREACHABLE, 'matrix'))
BUDGET_REQUESTS = 30


@dataclasses.dataclass(frozen=True)
class Cell:
    """Outcome of a fault at a step, and the checks that failed."""

    outcome: str
    problems: tuple[str, ...] = ()


class AgentStandin:
    """Replaces the connection to the agent; calls the claims directly."""

    def __init__(self, claims: ClaimService) -> None:
        """Prepare an agent that can be reached."""
        self.claims = claims
        self.is_down = False

    async def call(self, message, timeout_s: float):
        """Claim an idempotency key or record its answer."""
        if self.is_down:
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
    """Reports the steps of the request that is tested."""

    async def run(self):
        """Report that the claim is decided, then run the exchange."""
        await self.state.report_step('claimed', self)
        return await super().run()

    async def call_upstream(self, grant):
        """Report that an upstream was chosen and the request admitted."""
        self.state.target = grant.upstream.name
        await self.state.report_step('admitted', self)
        return await super().call_upstream(grant)

    async def run_attempt(self, grant):
        """Report that the whole answer was received."""
        result = await super().run_attempt(grant)
        if isinstance(result, Ok):
            await self.state.report_step('last byte', self)
        return result


class SteppedWork(standin.WorkHandler):
    """Reports the steps of the tested request and injects upstream faults."""

    async def work(self, *_path: str) -> None:
        """Answer in two parts, with the fault at its step."""
        run = self.upstream.run
        work_id = self.request.headers.get(standin.WORK_ID_HEADER, '')
        if not run.first_phase or work_id != WORK_ID:
            await super().work()
            return
        if run.consume_fault('upstream sheds'):
            self.set_status(503)
            self.finish({})
            return
        await self.upstream.execute(work_id)
        await run.report_step('sent')
        await self.apply_fault(run)
        if not self._finished:
            await self.answer_in_halves(run, work_id)

    async def apply_fault(self, run: 'CellRun') -> None:
        """Apply the fault of the cell unless an attempt already had it."""
        await run.delay_answer()
        if run.consume_fault('upstream draining'):
            self.set_header('X-Draining', '1')
        if run.consume_fault('upstream sheds'):
            self.set_status(503)
            self.finish({})
        if run.consume_fault('answer cut'):
            await self.send_truncated_answer()
            self._finished = True

    async def answer_in_halves(self, run: 'CellRun', work_id: str) -> None:
        """Send the answer; report the first byte between its parts."""
        content = json.dumps({'work_id': work_id}).encode()
        self.set_header('Content-Length', str(len(content)))
        self.write(content[:5])
        await self.flush()
        await run.report_step('first byte')
        if run.consume_fault('answer cut'):
            self.request.connection.detach().close()
            self._finished = True
            return
        await run.delay_answer()
        self.finish(content[5:])

    get = work
    post = work


def stepped_application(upstream: standin.Upstream) -> web.Application:
    """Return an upstream application that reports the steps."""
    return web.Application(
        [('(/.*)', SteppedWork, {'upstream': upstream})],
        log_function=lambda handler: None,
    )


class FaultInjectors:
    """Injects the faults outside the upstream; one method per fault."""

    @staticmethod
    async def entry_killed(run: 'CellRun') -> None:
        """End the entry program without a shutdown and start a new one."""
        old = run.entry.program
        old.state.spawn = lambda work: work.close()
        old.http.stop()
        run.close_task = asyncio.create_task(old.http.close_all_connections())
        for task in run.tasks - {asyncio.current_task()}:
            task.cancel()
        run.claims.handle_entry_exit()
        program = EntryProgram(old.settings)
        run.entry.program = program
        program.state.incarnation = old.state.incarnation + 1
        program.service.ticket_registry.incarnation = program.state.incarnation
        program.service.agent = run.agent
        run.entry.listen()
        run.install_hooks()
        if asyncio.current_task() in run.tasks:
            raise asyncio.CancelledError

    @staticmethod
    async def entry_paused(run: 'CellRun') -> None:
        """Drop the share slot and wait until the deadline has passed."""
        run.entry.apply(slot=None)
        await asyncio.sleep(PAST_DEADLINE_S)

    @staticmethod
    async def caller_gone(run: 'CellRun') -> None:
        """Close the caller's connection."""
        run.caller.writer.close()
        await asyncio.sleep(SHORT_DELAY_S)

    @staticmethod
    async def agent_unreachable(run: 'CellRun') -> None:
        """Make calls to the agent fail."""
        run.agent.is_down = True

    @staticmethod
    async def store_down(run: 'CellRun') -> None:
        """Make all calls to the store fail."""
        run.store.switches.down = True

    @staticmethod
    async def store_slow(run: 'CellRun') -> None:
        """Make the store answer after the deadline of the call."""
        run.store.switches.slow_s = STORE_DELAY_S

    @staticmethod
    async def store_answer_lost(run: 'CellRun') -> None:
        """Lose the answer to the next write; the write takes effect."""
        run.store.switches.lose_answers = 1

    @staticmethod
    async def upstream_killed(run: 'CellRun') -> None:
        """Stop the upstream that was chosen."""
        await run.entry.kill(run.entry.state.target)

    @staticmethod
    async def site_lost(run: 'CellRun') -> None:
        """Stop all upstreams."""
        for name in run.entry.servers:
            await run.entry.kill(name)

    @staticmethod
    async def key_withdrawn(run: 'CellRun') -> None:
        """Apply a configuration without the API key."""
        text = run.entry.text
        begin = text.index('{ digest')
        run.original_text = text
        run.entry.apply(text[:begin] + text[text.index('}', begin) + 1 :])

    @staticmethod
    async def configuration_changed(run: 'CellRun') -> None:
        """Apply a configuration with another burst."""
        text = run.entry.text
        run.entry.apply(text.replace('burst = 200', 'burst = 150'))


class Caller:
    """Sends requests of one kind and reads the answers."""

    def __init__(self, entry: harness.EntryHarness, kind: str) -> None:
        """Start without a connection."""
        self.entry = entry
        self.kind = kind
        self.ticket = 'instalment'
        self.writer: asyncio.StreamWriter | None = None
        self.problems: list[str] = []

    async def fetch_ticket(self) -> None:
        """Fetch a ticket, an idempotency key issued by the entry program."""
        answer = await self.entry.fetch('/v1/tickets', method='POST', body=b'')
        self.ticket = json.loads(answer.body)['ticket']

    async def request(
        self, work_id: str, deadline_ms: int = DEADLINE_MS
    ) -> str:
        """Send a request and return a description of its answer."""
        size = UPLOAD_BYTES if self.kind == 'upload' else 2
        body = b'' if self.kind == 'read' else b'x' * size
        lines = [
            f'{KINDS[self.kind]} HTTP/1.1',
            'Host: x',
            'Connection: close',
            f'X-Api-Key: {harness.KEY}',
            f'X-Work-Id: {work_id}',
            f'X-Deadline-Ms: {deadline_ms}',
            f'Content-Length: {len(body)}',
        ]
        if self.kind in KINDS_WITH_KEY:
            key = self.ticket if work_id == WORK_ID else work_id
            lines.append(f'Idempotency-Key: {key}')
        request_head = '\r\n'.join([*lines, '', '']).encode()
        reader, writer = await asyncio.open_connection(
            harness.ADDRESS,
            self.entry.port,
        )
        self.writer = writer
        writer.write(request_head + body)
        received = b''
        with contextlib.suppress(TimeoutError, ConnectionError):
            received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return self.describe_answer(received, work_id)

    def describe_answer(self, received: bytes, work_id: str) -> str:
        """Return status and outcome of a complete answer, else ``cut``."""
        answer_head, _, body = received.partition(b'\r\n\r\n')
        line, _, fields = answer_head.decode().partition('\r\n')
        if not line:
            return 'cut'
        headers = HTTPHeaders.parse(fields)
        if len(body) != int(headers.get('Content-Length', '-1')):
            return 'cut'
        code = parse_response_start_line(line).code
        if code == 200 and json.loads(body)['work_id'] != work_id:
            self.problems.append('answer of another request')
        repeated = ' again' if 'X-Egretmill-Repeat' in headers else ''
        outcome = headers.get('X-Egretmill-Outcome', 'no outcome')
        return f'{code} {outcome}{repeated}'


PATCHES = (
    (entry_service, 'Exchange', SteppedExchange),
    (standin, 'make_application', stepped_application),
)


class CellRun:
    """One cell: a request, a fault, a repeat and a further request."""

    def __init__(self, step: str, fault: str, kind: str) -> None:
        """Create an entry program with a store and a claim service."""
        self.step = step
        self.fault = fault
        self.kind = kind
        self.first_phase = True
        self.is_injected = False
        self.is_consumed = False
        self.fault_ended = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.entry = harness.EntryHarness()
        self.caller = Caller(self.entry, kind)
        self.problems = self.caller.problems
        self.original_text: str | None = None
        self.store = FakeStore(FakeTable())
        self.claims = ClaimService(self.store, 'host-1', 1, lambda *_: True)
        self.agent = AgentStandin(self.claims)
        self.entry.program.service.agent = self.agent

    @property
    def service(self) -> str:
        """Return the service that requests of this kind go to."""
        return KINDS[self.kind].rpartition('/')[2]

    async def run(self) -> Cell:
        """Run the cell."""
        self.entry.start()
        for upstream in self.entry.upstreams.values():
            upstream.run = self
        self.install_hooks()
        await asyncio.sleep(harness.SHARE_WAIT_S)
        try:
            outcome = await self.make_requests()
        finally:
            await self.claims.close()
            await self.entry.stop()
        return Cell(outcome, tuple(self.problems))

    async def make_requests(self) -> str:
        """Make the request, its repeat and another request; check all."""
        first = await self.make_first_request()
        executions = self.entry.executions(WORK_ID)
        repeat = await self.caller.request(WORK_ID)
        self.check_executions(first, repeat, executions)
        further = await self.caller.request('next')
        if further != '200 ran':
            self.problems.append(f'next request: {further}')
        await self.wait_until_idle()
        return f'{first} > {repeat} x{executions}'

    async def make_first_request(self) -> str:
        """Make the request under the fault, then end the fault."""
        if self.kind == 'ticket':
            await self.caller.fetch_ticket()
        is_past_deadline = self.fault in FAULTS_PAST_DEADLINE
        deadline_ms = SHORT_DEADLINE_MS if is_past_deadline else DEADLINE_MS
        first = await self.caller.request(WORK_ID, deadline_ms)
        if self.step == 'recorded':
            await self.wait_until_idle()
            await self.report_step('recorded')
        await self.end_fault()
        await self.wait_until_idle()
        return first

    def install_hooks(self) -> None:
        """Install the step hooks in the current entry program."""
        state = self.entry.state
        state.report_step = self.report_exchange_step
        state.target = f'{self.service}-1'
        for _ in range(BUDGET_REQUESTS):
            state.retry_budget.record_request(self.service, state.now())
        service = self.entry.program.service
        service.dispatch = functools.partial(
            self.report_accepted, service.dispatch
        )

    async def report_accepted(self, dispatch, caller, *others):
        """Report that a request was accepted, then dispatch it."""
        self.tasks.add(asyncio.current_task())
        if caller.headers.get(standin.WORK_ID_HEADER) == WORK_ID:
            await self.report_step('accepted')
        return await dispatch(caller, *others)

    async def report_exchange_step(self, step: str, exchange: Exchange) -> None:
        """Report a step of an exchange if it belongs to the request."""
        if exchange.caller.headers.get(standin.WORK_ID_HEADER) == WORK_ID:
            await self.report_step(step)

    async def report_step(self, step: str) -> None:
        """Inject the fault, once, if it is due at this step."""
        if step != self.step or self.is_injected or not self.first_phase:
            return
        self.is_injected = True
        inject = getattr(FaultInjectors, self.fault.replace(' ', '_'), None)
        if inject is not None:
            await inject(self)

    def consume_fault(self, fault: str) -> bool:
        """Return whether the fault applies to this attempt; true once only."""
        if self.fault != fault or not self.is_injected or self.is_consumed:
            return False
        self.is_consumed = True
        return True

    async def delay_answer(self) -> None:
        """Delay the answer of an upstream that is silent, late or cold."""
        if self.consume_fault('upstream silent'):
            await self.fault_ended.wait()
        if self.consume_fault('late answer'):
            await asyncio.sleep(PAST_DEADLINE_S)
        if self.consume_fault('upstream cold'):
            await asyncio.sleep(SHORT_DELAY_S)

    async def end_fault(self) -> None:
        """End the fault."""
        self.first_phase = False
        self.fault_ended.set()
        self.agent.is_down = False
        self.store.switches = Switches()
        entry = self.entry
        for name in entry.killed:
            entry.revive(name)
        entry.killed.clear()
        entry.apply(self.original_text)
        await asyncio.sleep(harness.SHARE_WAIT_S)

    async def wait_until_idle(self) -> None:
        """Wait until nothing runs; report what is not released."""
        for _ in range(int(IDLE_LIMIT_S / POLL_S)):
            unreleased = list_unreleased(self.entry.program)
            if not unreleased:
                return
            await asyncio.sleep(POLL_S)
        self.problems.append(f'still taken: {unreleased}')

    def check_executions(
        self, first: str, repeat: str, executions: int
    ) -> None:
        """Check the executions against the answers that the caller got."""
        total_executions = self.entry.executions(WORK_ID)
        if not self.is_injected:
            self.problems.append('the step was not reached')
        if self.kind != 'read' and executions > 1:
            self.problems.append(f'{executions} executions')
        if 'not-run' in first and executions:
            self.problems.append('ran, but the caller was told not-run')
        if first.startswith('200') and not executions:
            self.problems.append('an answer without an execution')
        if self.kind not in KINDS_WITH_KEY:
            return
        allowed = {'409 unknown', f'{first} again'}
        allowed.add('200 ran again' if executions else '200 ran')
        if repeat not in allowed:
            self.problems.append(f'repeat got {repeat} after {executions} runs')
        if total_executions > 1:
            self.problems.append(
                f'{total_executions} executions with the repeat'
            )


def list_unreleased(program: EntryProgram) -> list[str]:
    """Return slots, requests and tasks in use, and ejected upstreams."""
    state = program.state
    now = state.now()
    used_totals = [
        name
        for name, holding in state.holdings.by_total.items()
        if isinstance(holding, ConcurrencyHolding) and holding.used
    ]
    used_upstreams = [
        name
        for name, view in state.table.views.items()
        if view.in_flight or not view.health.can_send(now)
    ]
    counts = {'requests': state.running_requests, 'tasks': len(state.tasks)}
    running = [f'{count} {name}' for name, count in counts.items() if count]
    return [
        *used_totals,
        *used_upstreams,
        *program.service.ticket_registry.running,
        *running,
    ]


async def run_cell(semaphore: asyncio.Semaphore, *cell_key: str) -> Cell:
    """Run one cell once the semaphore allows it."""
    async with semaphore:
        return await CellRun(*cell_key).run()


async def run_all_cells() -> dict[tuple[str, str, str], Cell]:
    """Run all cells, a bounded number concurrently."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CELLS)
    cell_keys = tuple(itertools.product(STEPS, FAULTS, KINDS))
    with contextlib.ExitStack() as patches:
        for module, name, replacement in PATCHES:
            patches.enter_context(mock.patch.object(module, name, replacement))
        cells = await asyncio.gather(
            *(run_cell(semaphore, *cell_key) for cell_key in cell_keys),
        )
    return dict(zip(cell_keys, cells, strict=True))


def main() -> None:
    """Print the table and the failed checks."""
    logging.disable(logging.CRITICAL)
    cells = asyncio.run(run_all_cells())
    print(' | '.join(('fault', 'step', *KINDS)))
    for fault, step in itertools.product(FAULTS, STEPS):
        row = [cells[step, fault, kind].outcome for kind in KINDS]
        print(' | '.join((fault, step, *row)))
    failed_checks = 0
    for cell_key, cell in cells.items():
        failed_checks += len(cell.problems)
        if cell.problems:
            print(cell_key, cell.problems, file=sys.stderr)
    sys.exit(1 if failed_checks else 0)


if __name__ == '__main__':
    main()
