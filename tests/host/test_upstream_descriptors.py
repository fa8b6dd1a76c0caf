"""Descriptors of connections to upstreams, those being opened included."""

import asyncio
import dataclasses
import socket

from egretmill.host.descriptors import DescriptorPlan
from tests.host.fakes import make_state, upstream
from tests.http1.harness import ADDRESS, run_upstream

CONNECTIONS = 4


async def serve_nothing(reader, writer):
    """Keep a connection open."""
    await reader.read()


async def test_connections_that_are_being_opened_count():
    """Guards against a division that misses thousands of connects."""
    with socket.socket() as listening:
        listening.bind((ADDRESS, 0))
        listening.listen(0)
        full = upstream('u1', listening.getsockname()[1])
        state = make_state(full)
        load = state.pool.loads['u1']
        tasks = [
            asyncio.create_task(state.pool.acquire(load, state.now(), 0.3, 1))
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(0.1)
        counted = state.pool.usage.descriptors
        outcomes = await asyncio.gather(*tasks)
        assert counted == CONNECTIONS
        for outcome in outcomes:
            if outcome.is_ok():
                outcome.ok_value.abort()
        await asyncio.sleep(0.01)
        assert state.pool.usage.descriptors == 0


async def test_idle_connections_close_when_their_descriptors_are_needed():
    """Guards against idle connections that leave requests no descriptor."""
    async with run_upstream(serve_nothing) as port:
        state = make_state(upstream('u1', port), upstream('u2', port))
        pool = state.pool
        load = pool.loads['u1']
        pool.plan = dataclasses.replace(
            DescriptorPlan.from_limit(0), upstreams=2
        )
        opened = [
            (await pool.acquire(load, state.now(), 1, 1)).ok_value
            for _ in range(2)
        ]
        for connection in opened:
            pool.release(load, connection)
        assert len(pool.idle['u1']) == 2
        busy = (
            await pool.acquire(pool.loads['u2'], state.now(), 1, 1)
        ).ok_value
        await asyncio.sleep(0.01)
        assert all(connection.is_closed for connection in opened)
        busy.abort()
