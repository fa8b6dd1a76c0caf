"""Promotions over HTTP, against the stand-in of the platform."""

import asyncio
import time

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.document.promotion import PROMOTION_TIMEOUT_S, Promoter
from egretmill.errors import ErrorKind
from egretmill.store import StoreClient
from standins.platform import Faults, Platform, make_application
from tests.document.fakes import edited, sample

FIRST = sample().encode()
SECOND = edited('rate_per_s = 120.0', 'rate_per_s = 130.0')


class AgentUnderTest:
    """A platform and the promoter of one agent."""

    def __init__(self) -> None:
        """Listen on a free port of the loopback address."""
        bound = bind_unused_port()
        self.platform = Platform()
        self.server = HTTPServer(make_application(self.platform))
        self.server.add_socket(bound[0])
        store = StoreClient(f'http://127.0.0.1:{bound[1]}', timeout_s=0.1)
        self.promoter = Promoter(store, 'eh-1', time.monotonic)
        self.promoter.timeout_s = 0.5

    async def promote(self, body, expected_version, attempt_id):
        """Promote as one operator."""
        return await self.promoter.promote(
            body,
            expected_version,
            attempt_id,
            'anna',
        )


@pytest.fixture
async def agent():
    """Return a platform in which version 1 is in force."""
    started = AgentUnderTest()
    await started.promote(FIRST, 0, 'attempt-1')
    yield started
    started.server.stop()


@pytest.mark.parametrize('lost', [1, 2, 3])
async def test_lost_answers(agent, lost):
    """Guards against deciding a promotion only from the HTTP answer."""
    agent.promoter.timeout_s = PROMOTION_TIMEOUT_S
    agent.platform.faults = Faults(lose_answers=lost)
    promoted = await agent.promote(SECOND, 1, 'attempt-2')
    assert promoted.unwrap().version == 2


async def test_race_over_http(agent):
    """Guards against conflicts that the HTTP client does not report."""
    agent.promoter.timeout_s = PROMOTION_TIMEOUT_S
    outcomes = await asyncio.gather(
        agent.promote(SECOND, 1, 'attempt-2'),
        agent.promote(SECOND, 1, 'attempt-3'),
    )
    kinds = {outcome.err() and outcome.err().kind for outcome in outcomes}
    assert kinds == {None, ErrorKind.VERSION_CONFLICT}


@pytest.mark.parametrize('faults', [Faults(down=True), Faults(delay_s=0.3)])
async def test_outage_and_recovery(agent, faults):
    """Guards against a missing or wrong answer during an outage."""
    agent.platform.faults = faults
    started_at = time.monotonic()
    refused = await agent.promote(SECOND, 1, 'attempt-2')
    assert time.monotonic() - started_at < 2
    assert refused.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE
    agent.platform.faults = Faults()
    promoted = await agent.promote(SECOND, 1, 'attempt-2')
    assert promoted.unwrap().version == 2
    current = (await agent.promoter.fetch_current()).unwrap()
    environment = (await agent.promoter.fetch_document(current)).unwrap()
    assert environment.body == SECOND


async def test_slow_writes_that_take_effect_later(agent):
    """Guards against repeating a write that takes effect after its deadline.

    The platform answers reads in time but applies each write 0.3 s late,
    after the timeout of the caller.
    """
    apply = agent.platform.apply
    loop = asyncio.get_running_loop()

    def apply_late(puts):
        loop.call_later(0.3, apply, puts)
        agent.platform.faults.lose_answers = 1
        return []

    agent.platform.apply = apply_late
    first = await agent.promote(SECOND, 1, 'attempt-2')
    again = await agent.promote(SECOND, 1, 'attempt-2')
    await asyncio.sleep(0.4)
    assert {first.is_ok() or first.unwrap_err().kind, again.is_ok()} <= {
        True,
        ErrorKind.PROMOTION_UNKNOWN,
    }
    current = (await agent.promoter.fetch_current()).unwrap()
    assert (current.version, current.attempt_id) == (2, 'attempt-2')
