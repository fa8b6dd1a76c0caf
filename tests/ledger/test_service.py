"""A claim is granted once, and repeats get the first answer."""

import asyncio

import pytest
from result import Err, Ok

from egretmill.errors import ErrorKind
from egretmill.ledger import ClaimLimits
from egretmill.wire.messages import Acknowledged, StoredAnswer
from tests.fakes import FakeTable
from tests.ledger.support import ANSWER, KEY, Fleet, claim, in_turn, record
from tests.virtual_time import run_virtual

OK = Ok(Acknowledged())


def in_virtual_time(test):
    """Run a test coroutine with a fresh fleet in virtual time."""

    def run():
        run_virtual(test(Fleet(FakeTable())))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


async def statuses_of(*services, **options):
    """Claim at each service in turn and return the statuses."""
    decisions = await in_turn(
        service.claim(claim(**options)) for service in services
    )
    return [decision.status for decision in decisions]


async def answers_of(*services):
    """Claim at each service in turn and return the repeated answers."""
    decisions = await in_turn(service.claim(claim()) for service in services)
    return [decision.answer for decision in decisions]


async def finished(service, message, state='done', answer=ANSWER):
    """Make a claim and record its end."""
    assert (await service.claim(message)).status == 'granted'
    return await service.record(record(message, state, answer))


@in_virtual_time
async def test_repeat_gets_first_answer_at_both_hosts(fleet):
    """Guards against a second execution of a finished request."""
    first, second = fleet.start('a'), fleet.start('b')
    assert await finished(first, claim()) == OK
    assert await answers_of(first, second) == [ANSWER, ANSWER]


@in_virtual_time
async def test_running_claim_is_waited_for_and_then_repeated(fleet):
    """Guards against refusing a repeat before its deadline."""
    first, second = fleet.start('a'), fleet.start('b')
    message = claim()
    assert (await first.claim(message)).status == 'granted'
    waiting = [
        asyncio.create_task(service.claim(claim(timeout_s=5)))
        for service in (first, second)
    ]
    await asyncio.sleep(1)
    assert await first.record(record(message)) == OK
    decisions = await asyncio.gather(*waiting)
    assert [decision.answer for decision in decisions] == [ANSWER, ANSWER]


@in_virtual_time
async def test_waiting_for_another_host_costs_no_writes(fleet):
    """Guards against a write per poll while a repeat waits."""
    first, second = fleet.start('a'), fleet.start('b')
    message = claim()
    assert (await first.claim(message)).status == 'granted'
    task = asyncio.create_task(second.claim(claim(timeout_s=9)))
    await asyncio.sleep(6)
    # The claim and the first attempt of the repeat.
    assert fleet.table.transactions == 2
    assert fleet.table.reads in range(5, 15)
    await first.record(record(message, 'released'))
    assert (await task).status == 'granted'


@in_virtual_time
async def test_running_claim_is_in_progress_at_the_deadline(fleet):
    """Guards against a repeat that waits past its deadline."""
    first, second = fleet.start('a'), fleet.start('b')
    assert (await first.claim(claim())).status == 'granted'
    async with asyncio.timeout(0.7):
        statuses = await statuses_of(first, second, timeout_s=0.3)
    assert statuses == ['in_progress', 'in_progress']


@in_virtual_time
async def test_lost_owner_is_never_run_again(fleet):
    """Guards against repeating a request that a dead owner may have sent."""
    first, second = fleet.start('a'), fleet.start('b')
    assert (await first.claim(claim())).status == 'granted'
    fleet.live['a'] = 2
    assert (await second.claim(claim())).status == 'owner_lost'
    restarted = fleet.start('a', 2)
    assert (await restarted.claim(claim())).status == 'owner_lost'


@in_virtual_time
async def test_entry_restart_makes_claims_unknown(fleet):
    """Guards against claims that stay in progress after an entry restart."""
    first, second = fleet.start('a'), fleet.start('b')
    assert (await first.claim(claim())).status == 'granted'
    first.handle_entry_exit()
    assert (await first.claim(claim())).status == 'owner_lost'
    await asyncio.sleep(1)
    assert not first.registry.by_key
    assert (await first.claim(claim())).status == 'owner_lost'
    assert (await second.claim(claim())).status == 'owner_lost'


@in_virtual_time
async def test_claim_of_an_ended_entry_is_not_granted(fleet):
    """Guards against granting a queued claim after its entry has ended."""
    service = fleet.start('a')
    late = claim(incarnation=1)
    service.handle_entry_exit(2)
    assert (await service.claim(late)).status == 'unavailable'
    assert (await service.claim(claim(incarnation=2))).status == 'granted'


@in_virtual_time
async def test_waiting_claim_of_an_ended_entry_is_not_granted(fleet):
    """Guards against granting a key to a caller that has ended or released."""
    first, second = fleet.start('a'), fleet.start('b')
    message = claim()
    assert (await first.claim(message)).status == 'granted'
    late = asyncio.create_task(second.claim(claim(incarnation=1, timeout_s=9)))
    withdrawn_claim = claim(timeout_s=9)
    withdrawn = asyncio.create_task(second.claim(withdrawn_claim))
    await asyncio.sleep(1)
    second.handle_entry_exit(2)
    await second.record(record(withdrawn_claim, 'released'))
    await first.record(record(message, 'released'))
    assert (await late).status == 'unavailable'
    assert (await withdrawn).status == 'unavailable'


@in_virtual_time
async def test_other_body_is_a_mismatch_in_every_state(fleet):
    """Guards against returning the answer to a different request body."""
    first, second = fleet.start('a'), fleet.start('b')
    message = claim()
    assert (await first.claim(message)).status == 'granted'
    running = await statuses_of(first, second, digest='d2')
    assert await first.record(record(message)) == OK
    done = await statuses_of(first, second, digest='d2')
    assert running + done == ['mismatch', 'mismatch', 'mismatch', 'mismatch']


@in_virtual_time
async def test_released_claim_may_be_made_again(fleet):
    """Guards against a key that stays blocked by a request not sent."""
    first, second = fleet.start('a'), fleet.start('b')
    assert await finished(first, claim(), 'released') == OK
    assert await finished(second, claim(), 'released') == OK
    assert (await first.claim(claim())).status == 'granted'


@in_virtual_time
async def test_lost_answer_is_resolved_by_reading_the_row(fleet):
    """Guards against refusing a written claim, or granting it twice."""
    service = fleet.start('a')
    fleet.stores['a'].switches.lose_answers = 1
    assert (await service.claim(claim())).status == 'granted'
    assert fleet.table.version_of(f'claims/rota/{KEY}') == 1


@in_virtual_time
async def test_orphan_is_replaced_by_the_next_claim(fleet):
    """Guards against a claim that blocks its key after an outage."""
    service = fleet.start('a')
    switches = fleet.stores['a'].switches
    switches.lose_answers = 1
    switches.lose_reads = 2
    assert (await service.claim(claim())).status == 'unavailable'
    assert fleet.table.version_of(f'claims/rota/{KEY}') == 1
    assert (await service.claim(claim())).status == 'granted'


@in_virtual_time
async def test_orphan_is_released_in_the_background(fleet):
    """Guards against an orphan that blocks its key on other hosts."""
    first, second = fleet.start('a'), fleet.start('b')
    switches = fleet.stores['a'].switches
    switches.lose_answers = 1
    switches.lose_reads = 2
    assert (await first.claim(claim())).status == 'unavailable'
    await asyncio.sleep(1)
    assert not first.registry.orphans
    assert (await second.claim(claim())).status == 'granted'


@in_virtual_time
async def test_delayed_write_of_an_orphan_takes_no_effect(fleet):
    """Guards against a delayed write that takes effect after the release."""
    first, second = fleet.start('a'), fleet.start('b')
    fleet.stores['a'].switches.slow_s = 3
    assert (await first.claim(claim())).status == 'unavailable'
    fleet.stores['a'].switches.slow_s = 0
    await asyncio.sleep(10)
    assert not first.registry.orphans
    assert (await second.claim(claim())).status == 'granted'


@in_virtual_time
async def test_platform_outage_refuses_claims_until_it_ends(fleet):
    """Guards against granting a claim that was never stored."""
    service = fleet.start('a')
    fleet.stores['a'].switches.down = True
    assert (await service.claim(claim())).status == 'unavailable'
    fleet.stores['a'].switches.down = False
    assert (await service.claim(claim())).status == 'granted'


@in_virtual_time
async def test_orphans_of_an_outage_are_bounded_and_released(fleet):
    """Guards against memory that grows with repeats in an outage."""
    limits = ClaimLimits(max_claims=50, orphans_per_key=4)
    service = fleet.start('a', limits=limits)
    switches = fleet.stores['a'].switches
    switches.down = True
    keys = [KEY for _ in range(10)] + [f'k{number}' for number in range(100)]
    decisions = await in_turn(service.claim(claim(key)) for key in keys)
    assert {decision.status for decision in decisions} == {'unavailable'}
    assert len(service.registry.orphans) == 50
    assert len(service.registry.orphans[f'claims/rota/{KEY}']) == 4
    switches.down = False
    await asyncio.sleep(15)
    assert not service.registry.orphans
    assert fleet.table.transactions in range(2, 6)
    assert (await service.claim(claim())).status == 'granted'


@in_virtual_time
async def test_record_is_kept_until_the_platform_answers(fleet):
    """Guards against losing the answer of a request during an outage."""
    first, second = fleet.start('a'), fleet.start('b')
    message = claim()
    assert (await first.claim(message)).status == 'granted'
    fleet.stores['a'].switches.down = True
    kept = await first.record(record(message))
    assert kept.err_value.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert (await first.claim(claim())).answer == ANSWER
    assert (await second.claim(claim(timeout_s=0))).status == 'unavailable'
    fleet.stores['a'].switches.down = False
    await asyncio.sleep(10)
    assert (await second.claim(claim())).answer == ANSWER
    assert await first.record(record(message)) == OK


@in_virtual_time
async def test_duplicated_claim_message_gets_the_same_decision(fleet):
    """Guards against refusing a message that the transport sends twice."""
    service = fleet.start('a')
    message = claim()
    decisions = await asyncio.gather(
        service.claim(message),
        service.claim(message),
    )
    assert {decision.status for decision in decisions} == {'granted'}
    assert (await service.claim(message)).status == 'granted'
    assert fleet.table.transactions == 1


@in_virtual_time
async def test_withdrawn_claim_is_never_granted(fleet):
    """Guards against granting a claim that its caller has withdrawn."""
    service = fleet.start('a')
    message = claim()
    task = asyncio.create_task(service.claim(message))
    await asyncio.sleep(0)
    assert await service.record(record(message, 'released')) == OK
    assert (await task).status == 'unavailable'
    assert (await service.claim(message)).status == 'unavailable'
    await asyncio.sleep(1)
    assert (await service.claim(claim())).status == 'granted'


@in_virtual_time
async def test_record_after_agent_restart_finds_its_row(fleet):
    """Guards against losing an answer when only the agent restarts."""
    message = claim()
    assert (await fleet.start('a').claim(message)).status == 'granted'
    restarted = fleet.start('a', 2)
    assert await restarted.record(record(message)) == OK
    assert await restarted.record(record(message)) == OK
    assert (await restarted.claim(claim())).answer == ANSWER
    refused = await restarted.record(record(claim()))
    assert refused.err_value.kind is ErrorKind.VERSION_CONFLICT


@in_virtual_time
async def test_large_answer_is_not_stored(fleet):
    """Guards against rows that are too large for the platform."""
    service = fleet.start('a')
    large = StoredAnswer(200, (), bytes(65537))
    assert await finished(service, claim(), answer=large) == OK
    assert (await service.claim(claim())).status == 'not_stored'


@in_virtual_time
async def test_memory_for_unwritten_answers_is_bounded(fleet):
    """Guards against memory that grows with the length of an outage."""
    service = fleet.start(
        'a', limits=ClaimLimits(max_claims=3, pending_bytes=70000)
    )
    messages = [claim(f'k{number}') for number in range(3)]
    made = await in_turn(service.claim(message) for message in messages)
    assert {decision.status for decision in made} == {'granted'}
    assert (await service.claim(claim('k3'))).status == 'unavailable'
    fleet.stores['a'].switches.down = True
    answer = StoredAnswer(200, (), bytes(60000))
    kept = await in_turn(
        service.record(record(message, answer=answer)) for message in messages
    )
    assert all(isinstance(item, Err) for item in kept)
    repeats = await in_turn(service.claim(claim(f'k{n}')) for n in range(3))
    statuses = [decision.status for decision in repeats]
    assert statuses == ['repeat', 'not_stored', 'not_stored']


@in_virtual_time
async def test_unrecorded_claim_becomes_unknown(fleet):
    """Guards against a claim that stays granted without a record."""
    service = fleet.start('a')
    assert (await service.claim(claim())).status == 'granted'
    await asyncio.sleep(3701)
    assert (await service.claim(claim())).status == 'owner_lost'


@in_virtual_time
async def test_waiting_repeats_are_bounded(fleet):
    """Guards against repeats that occupy all request contexts of the agent."""
    service = fleet.start('a', limits=ClaimLimits(max_waiting=2))
    assert (await service.claim(claim())).status == 'granted'
    waiting = [
        asyncio.create_task(service.claim(claim(timeout_s=9))) for _ in range(3)
    ]
    await asyncio.sleep(1)
    assert [task.done() for task in waiting] == [False, False, True]
    await asyncio.gather(*waiting)


@pytest.mark.parametrize('key', ['', 'x' * 201, 'a b', 'a\n', 'ü'])
def test_malformed_key_makes_no_call(key):
    """Guards against keys that the platform interface cannot represent."""

    @in_virtual_time
    async def check(fleet):
        service = fleet.start('a')
        assert (await service.claim(claim(key))).status == 'unavailable'
        refused = await service.record(record(claim(key)))
        assert refused.err_value.kind is ErrorKind.BAD_REQUEST
        assert not fleet.table.reads + fleet.table.transactions

    check()
