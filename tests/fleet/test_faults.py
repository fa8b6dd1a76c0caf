"""Real processes under kills, pauses, outages and shutdowns."""

import asyncio
import json
import signal
import time

OUTCOME = 'X-Egretmill-Outcome'
CHANGE_LIMIT_S = 2.0
PEERS_ONLY_LIMIT_S = 5.0


async def admitted_within(fleet, hosts, duration_s: float) -> list[float]:
    """Send reads to hosts without pause; return admission times."""
    admitted: list[float] = []
    deadline = time.monotonic() + duration_s

    async def send_reads(host) -> None:
        while time.monotonic() < deadline:
            answer = await fleet.read(host, X_Deadline_Ms='100')
            if answer.code == 200:
                admitted.append(time.monotonic())
            await asyncio.sleep(0.002)

    await asyncio.gather(
        *(send_reads(host) for host in hosts for _ in range(4))
    )
    return sorted(admitted)


def largest_excess(
    admitted_at: list[float], rate: float, burst: float
) -> float:
    """Return the largest excess over rate x time + burst in any window.

    Answers arrive after admission, by up to the spread of the latency, so
    a window may seem shorter than it was; 20 ms of rate allow for that.
    """
    allowance = rate * 0.02
    worst = 0.0
    for first, start in enumerate(admitted_at):
        for last in range(first, len(admitted_at)):
            count = last - first + 1
            allowed = rate * (admitted_at[last] - start) + burst + allowance
            worst = max(worst, count - allowed)
    return worst


async def test_rate_holds_over_hosts_with_pause_kill_and_restart(fleet):
    """Guards against more than rate and burst over all hosts (P4)."""
    first, second, third = fleet.hosts
    running = asyncio.create_task(admitted_within(fleet, fleet.hosts, 9.0))
    await asyncio.sleep(1.0)
    fleet.signal(second, 'entry', signal.SIGSTOP)
    await asyncio.sleep(1.5)
    fleet.signal(second, 'entry', signal.SIGCONT)
    await asyncio.sleep(0.5)
    fleet.signal(third, 'entry', signal.SIGKILL)
    fleet.wait(third, 'entry', 5)
    fleet.fleet.start_program(third, 'entry')
    await asyncio.sleep(1.5)
    fleet.signal(first, 'agent', signal.SIGKILL)
    fleet.wait(first, 'agent', 5)
    fleet.fleet.start_program(first, 'agent')
    admitted_at = await running
    assert largest_excess(admitted_at, 40, 20) <= 0
    assert len(admitted_at) > 40 * 9 * 0.5


async def test_platform_outage_keeps_reads_and_tickets(fleet):
    """Guards against a platform outage that stops service."""
    host = fleet.hosts[0]
    await fleet.platform_faults(down=True)
    await asyncio.sleep(6.5)
    assert (await fleet.read(host)).code == 200
    refused = await fleet.write(
        host,
        Idempotency_Key='outage-1',
        X_Work_Id='outage-1',
    )
    assert refused.code == 503
    assert refused.headers[OUTCOME] == 'not-run'
    assert await fleet.executions('outage-1') == 0
    issued = await fleet.request(
        host,
        '/v1/tickets',
        {},
        method='POST',
        body=b'',
    )
    ticket = json.loads(issued.body)['ticket']
    answers = [
        await fleet.write(target, Idempotency_Key=ticket, X_Work_Id='ticket')
        for target in (host, host, fleet.hosts[2])
    ]
    assert [answer.code for answer in answers] == [200, 200, 200]
    assert len({answer.body for answer in answers}) == 1
    assert await fleet.executions('ticket') == 1


async def test_repeats_at_all_hosts_run_once(fleet):
    """Guards against a write that runs twice at two hosts (P7)."""
    answers = await asyncio.gather(
        *(
            fleet.write(host, Idempotency_Key='same', X_Work_Id='same')
            for host in fleet.hosts * 3
        ),
    )
    assert await fleet.executions('same') == 1
    assert {answer.code for answer in answers} <= {200, 409}
    repeat = await fleet.write(
        fleet.hosts[1],
        Idempotency_Key='same',
        X_Work_Id='same',
    )
    assert repeat.code == 200


async def test_killed_entry_leaves_its_writes_unknown(fleet):
    """Guards against running a write again after its first host died (P7)."""
    first, second, _ = fleet.hosts
    await fleet.upstream_faults('ledger', service_s=1.0)
    running = asyncio.create_task(
        fleet.write(first, Idempotency_Key='killed', X_Work_Id='killed'),
    )
    await asyncio.sleep(0.5)
    fleet.signal(first, 'entry', signal.SIGKILL)
    fleet.wait(first, 'entry', 5)
    await running
    fleet.fleet.start_program(first, 'entry')
    await fleet.wait_until(lambda: fleet.can_read(first), 'restarted entry')
    repeat = await fleet.write(
        second,
        Idempotency_Key='killed',
        X_Work_Id='killed',
    )
    assert repeat.code == 409
    assert repeat.headers[OUTCOME] == 'unknown'
    assert await fleet.executions('killed') == 1


async def test_sigterm_under_load_cuts_no_request(fleet):
    """Guards against a graceful shutdown that cuts requests (P9)."""
    host = fleet.hosts[1]
    await fleet.upstream_faults('ledger', service_s=0.8)
    running = [
        asyncio.create_task(fleet.write(host, X_Work_Id=f'term-{number}'))
        for number in range(6)
    ]
    await asyncio.sleep(0.3)
    for program in ('steer', 'entry', 'agent'):
        fleet.signal(host, program, signal.SIGTERM)
    answers = await asyncio.gather(*running)
    assert [answer.code for answer in answers] == [200] * 6
    for program in ('steer', 'entry', 'agent'):
        status = await asyncio.to_thread(fleet.wait, host, program, 10)
        assert status == 0


async def test_change_reaches_a_host_cut_off_from_the_platform(fleet):
    """Guards against a partitioned host that misses a version (P10)."""
    connected, cut_off = fleet.hosts[1], fleet.hosts[2]
    await fleet.platform_faults(refused=[cut_off.address])
    await asyncio.sleep(0.6)
    text = fleet.text.replace('burst = 20', 'burst = 19')
    assert await fleet.try_promote(text)
    took_s = await fleet.wait_until(
        lambda: fleet.has_version(connected, fleet.version),
        'connected host',
        CHANGE_LIMIT_S,
    )
    assert took_s <= CHANGE_LIMIT_S
    await fleet.wait_until(
        lambda: fleet.has_version(cut_off, fleet.version),
        'host that reaches only peers',
        PEERS_ONLY_LIMIT_S,
    )


async def test_paused_host_is_left_out_of_look_ups(fleet):
    """Guards against look-ups that name a paused host."""
    paused, asked = fleet.hosts[0], fleet.hosts[1]
    url = f'http://{asked.address}:{asked.steer_port}/v1/lookup?service=board'

    async def names() -> list[str]:
        answer = await fleet.call(url)
        return [row['name'] for row in json.loads(answer.body)['hosts']]

    async def is_excluded() -> bool:
        return paused.name not in await names()

    async def is_included() -> bool:
        return paused.name in await names()

    await fleet.wait_until(is_included, 'all hosts named')
    fleet.signal(paused, 'agent', signal.SIGSTOP)
    await fleet.wait_until(is_excluded, 'paused host left out', 4.0)
    fleet.signal(paused, 'agent', signal.SIGCONT)
    await fleet.wait_until(is_included, 'resumed host named', 4.0)


async def test_host_that_starts_during_an_outage_serves(fleet):
    """Guards against a fresh host that needs the platform to serve."""
    host = fleet.hosts[0]
    await fleet.platform_faults(down=True)
    for program in ('steer', 'entry', 'agent'):
        fleet.signal(host, program, signal.SIGKILL)
        fleet.wait(host, program, 5)
    fleet.fleet.start_host(host)
    await fleet.wait_until(lambda: fleet.can_read(host), 'fresh host', 10.0)


async def test_shutdown_ends_during_an_outage(fleet):
    """Guards against a shutdown that waits for the platform."""
    host = fleet.hosts[0]
    await fleet.platform_faults(down=True)
    refused = await fleet.write(host, Idempotency_Key='outage-2')
    assert refused.code == 503
    for program in ('steer', 'entry', 'agent'):
        fleet.signal(host, program, signal.SIGTERM)
    for program in ('steer', 'entry', 'agent'):
        status = await asyncio.to_thread(fleet.wait, host, program, 8)
        assert status == 0
