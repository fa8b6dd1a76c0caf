"""Claims and share slots over HTTP against the stand-in platform."""

import time

import pytest
from result import Ok
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.ledger import ClaimService
from egretmill.membership.slot_lease import SlotLeaseManager
from egretmill.membership.slots import Holder, SlotLayout
from egretmill.store import StoreClient
from egretmill.wire.messages import Acknowledged
from standins.platform import Faults, Platform, make_application
from tests.ledger.support import ANSWER, claim, in_turn, record

ADDRESS = '127.0.0.1'
TIMEOUT_S = 0.3
KEY_WITH_RESERVED_CHARACTERS = '../%2F?a=1#' + 'x' * 189


@pytest.fixture
def platform():
    """Return the state of the stand-in."""
    return Platform()


@pytest.fixture
async def store(platform):
    """Serve the stand-in and return a client."""
    listener, port = bind_unused_port(address=ADDRESS)
    server = HTTPServer(make_application(platform))
    server.add_socket(listener)
    yield StoreClient(f'http://{ADDRESS}:{port}', TIMEOUT_S)
    server.stop()


@pytest.fixture
async def services(store):
    """Return the claim services of two hosts."""
    started = [
        ClaimService(store, host, 1, lambda name, number: True) for host in 'ab'
    ]
    yield started
    await in_turn(service.close() for service in started)


async def test_claim_is_repeated_at_another_host(services):
    """Guards against keys that are changed by the path of the platform URL."""
    first, second = services
    message = claim(KEY_WITH_RESERVED_CHARACTERS)
    assert (await first.claim(message)).status == 'granted'
    assert await first.record(record(message)) == Ok(Acknowledged())
    assert (
        await second.claim(claim(KEY_WITH_RESERVED_CHARACTERS))
    ).answer == ANSWER
    assert (
        await second.claim(claim(KEY_WITH_RESERVED_CHARACTERS[:-1]))
    ).status == 'granted'


@pytest.mark.parametrize(
    'faults',
    [Faults(lose_answers=1), Faults(malformed_answers=1)],
    ids=['lost', 'malformed'],
)
async def test_claim_without_a_usable_answer_is_settled(
    services,
    platform,
    faults,
):
    """Guards against refusing a written claim, or granting it twice."""
    first, second = services
    platform.faults = faults
    assert (await first.claim(claim())).status == 'granted'
    repeat = await second.claim(claim(timeout_s=0.2))
    assert repeat.status == 'in_progress'


async def test_claim_is_refused_while_the_platform_is_out(services, platform):
    """Guards against running a request without a stored claim."""
    platform.faults = Faults(down=True)
    assert (await services[0].claim(claim())).status == 'unavailable'
    platform.faults = Faults()
    assert (await services[0].claim(claim())).status == 'granted'
    assert (await services[0].claim(claim('other'))).status == 'granted'


async def test_share_slot_over_http(store, platform):
    """Guards against losing a slot when the answer to its write is lost."""
    platform.faults = Faults(lose_answers=1)
    keeper = SlotLeaseManager(
        store,
        Holder('a', ADDRESS, 1),
        SlotLayout('south', 2, 1, 3),
    )
    await keeper.step(time.monotonic())
    assert keeper.usable_slot(time.monotonic()).index == 2
    assert await keeper.release() == Ok(None)
    assert keeper.usable_slot(time.monotonic()) is None
    assert platform.rows['shares/south'].body == '{"slots":[]}'
