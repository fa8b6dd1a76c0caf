"""Helpers shared by the ledger tests."""

import asyncio
import itertools

from egretmill.ledger import ClaimService
from egretmill.wire.messages import Claim, RecordAnswer, StoredAnswer
from tests.fakes import FakeStore

ACCOUNT = 'rota'
KEY = 'instalment-7'
ANSWER = StoredAnswer(201, (('Content-Type', 'text/plain'),), b'paid')
ATTEMPTS = itertools.count()


class Fleet:
    """Claim services of several hosts that share one table."""

    def __init__(self, table):
        """Start without hosts."""
        self.table = table
        self.live = {}
        self.stores = {}

    def start(self, host, incarnation=1, next_fault=None, **options):
        """Start a host, replacing its earlier run."""
        store = FakeStore(self.table)
        if next_fault:
            store.next_fault = next_fault
        self.live[host] = incarnation
        self.stores[host] = store
        loop = asyncio.get_running_loop()
        return ClaimService(
            store,
            host,
            incarnation,
            lambda name, number: self.live.get(name) == number,
            loop.time,
            **options,
        )


def claim(key=KEY, digest='d1', timeout_s=2, incarnation=0):
    """Return a claim with a new attempt id."""
    attempt_id = f'attempt-{next(ATTEMPTS)}'
    return Claim(ACCOUNT, key, digest, attempt_id, timeout_s, incarnation)


def record(message, state='done', answer=ANSWER):
    """Return the record of a claim."""
    kept = answer if state == 'done' else None
    return RecordAnswer(
        message.account,
        message.idempotency_key,
        message.attempt_id,
        state,
        kept,
    )


async def in_turn(calls):
    """Await calls one after the other and return their results."""
    # The calls must not run concurrently.
    return [await call for call in calls]  # noqa: WPS476
