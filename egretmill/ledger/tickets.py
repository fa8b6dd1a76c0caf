"""Tickets: idempotency keys issued and tracked by one entry program.

A ticket is ``egt1.<host>.<incarnation>.<serial>.<random>``. Only the
incarnation that issued it runs its request, and only while the ticket is in
the memory of that incarnation. A ticket that has expired or is unknown there
is ``owner_lost`` permanently.
"""

import collections
import dataclasses
import random
import re
from typing import Literal

from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.claims import answer_bytes, storable_answer
from egretmill.wire.messages import ClaimDecision, StoredAnswer

__all__ = ('Ticket', 'TicketLimits', 'TicketRegistry')

TICKET_PATTERN = re.compile(
    r'egt1\.([a-z0-9][a-z0-9-]{0,62})\.(\d{1,19})\.(\d{1,19})\.([0-9a-f]{16})',
)
RANDOM_BITS = 64

TicketStatus = Literal['issued', 'running', 'done', 'unknown']
FinalStatus = Literal['done', 'unknown', 'released']


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The parts of a ticket, which name the incarnation that issued it."""

    host: str
    incarnation: int
    serial: int
    token: str

    @classmethod
    def parse(cls, text: str) -> 'Ticket | None':
        """Parse a ticket; return ``None`` for any other idempotency key."""
        match = TICKET_PATTERN.fullmatch(text)
        if match is None:
            return None
        host, incarnation, serial, token = match.groups()
        return cls(host, int(incarnation), int(serial), token)

    def __str__(self) -> str:
        """Return the text that callers send as idempotency key."""
        return f'egt1.{self.host}.{self.incarnation}.{self.serial}.{self.token}'


@dataclasses.dataclass(frozen=True, slots=True)
class TicketLimits:
    """Bounds on the tickets of one incarnation.

    :param lifetime_s: time from issue, or from the end of the request, to
        the expiry of a ticket.
    :param tickets: maximum number of tickets.
    :param per_account: maximum per client account, so that one account
        cannot use up all tickets.
    :param answer_bytes: total size of the stored answers; above it, the
        oldest become ``not_stored``.
    """

    lifetime_s: float = 600.0
    tickets: int = 20000
    per_account: int = 5000
    answer_bytes: int = 4194304


@dataclasses.dataclass(slots=True)
class TicketRecord:
    """State of one ticket."""

    account: str
    changed_at: float
    state: TicketStatus = 'issued'
    request_digest: str = ''
    answer: StoredAnswer | None = None


class TicketRegistry:
    """Tickets of one incarnation of an entry program; times in seconds."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        limits: TicketLimits | None = None,
    ) -> None:
        """Start without tickets."""
        self.host = host
        self.incarnation = incarnation
        self.limits = limits or TicketLimits()
        # Tickets that are not running, ordered by their last change, so that
        # expiry checks only the first ones.
        self.idle: collections.OrderedDict[str, TicketRecord] = (
            collections.OrderedDict()
        )
        self.running: dict[str, TicketRecord] = {}
        self.answer_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.answer_bytes = 0
        self.per_account: collections.Counter[str] = collections.Counter()
        self.serial = 0

    def issue(
        self,
        account: str,
        now: float,
        rng: random.Random,
    ) -> Result[str, Failure]:
        """Issue a ticket for a client account; ``overloaded`` at a limit."""
        self.expire(now)
        if self.per_account[account] >= self.limits.per_account:
            detail = 'too many unused tickets of the client account'
            return Err(Failure(ErrorKind.OVERLOADED, detail))
        if len(self.idle) + len(self.running) >= self.limits.tickets:
            return Err(Failure(ErrorKind.OVERLOADED, 'too many tickets'))
        self.serial += 1
        token = f'{rng.getrandbits(RANDOM_BITS):016x}'
        ticket = Ticket(self.host, self.incarnation, self.serial, token)
        self.idle[str(ticket)] = TicketRecord(account, now)
        self.per_account[account] += 1
        return Ok(str(ticket))

    def begin(
        self,
        ticket: str,
        account: str,
        request_digest: str,
        now: float,
    ) -> ClaimDecision:
        """Decide whether the request of a ticket may run now.

        The caller forwards tickets of other hosts to their host; here they
        are ``owner_lost``, like every unknown ticket.
        """
        self.expire(now)
        record = self.running.get(ticket) or self.idle.get(ticket)
        if record is None:
            return ClaimDecision('owner_lost')
        if record.account != account:
            return ClaimDecision('mismatch')
        if record.state == 'issued':
            record.state = 'running'
            record.request_digest = request_digest
            self.running[ticket] = self.idle.pop(ticket)
            return ClaimDecision('granted')
        if record.request_digest != request_digest:
            return ClaimDecision('mismatch')
        return repeat_decision(record)

    def finish(
        self,
        ticket: str,
        outcome: FinalStatus,
        answer: StoredAnswer | None,
        now: float,
    ) -> None:
        """Set the outcome of the running request of a ticket.

        ``released`` means that no byte was sent: the ticket may run again.
        """
        record = self.running.pop(ticket, None)
        if record is None:
            return
        record.changed_at = now
        record.state = 'issued' if outcome == 'released' else outcome
        self.idle[ticket] = record
        if outcome == 'done':
            self.store_answer(ticket, record, answer)
        self.expire(now)

    def store_answer(
        self,
        ticket: str,
        record: TicketRecord,
        answer: StoredAnswer | None,
    ) -> None:
        """Store an answer; evict the oldest answers above the byte limit."""
        record.answer = storable_answer(answer)
        size = answer_bytes(record.answer)
        if record.answer is None:
            return
        self.answer_sizes[ticket] = size
        self.answer_bytes += size
        while self.answer_bytes > self.limits.answer_bytes:
            oldest, size = self.answer_sizes.popitem(last=False)
            self.answer_bytes -= size
            self.idle[oldest].answer = None

    def expire(self, now: float) -> None:
        """Remove tickets whose lifetime has ended, except running ones."""
        cutoff = now - self.limits.lifetime_s
        while self.idle:
            ticket = next(iter(self.idle))
            if self.idle[ticket].changed_at > cutoff:
                return
            record = self.idle.pop(ticket)
            self.answer_bytes -= self.answer_sizes.pop(ticket, 0)
            self.per_account[record.account] -= 1
            if not self.per_account[record.account]:
                self.per_account.pop(record.account)


def repeat_decision(record: TicketRecord) -> ClaimDecision:
    """Return the decision for a repeated request with a ticket."""
    match record.state:
        case 'running':
            return ClaimDecision('in_progress')
        case 'done' if record.answer is not None:
            return ClaimDecision('repeat', record.answer)
        case 'done':
            return ClaimDecision('not_stored')
    return ClaimDecision('owner_lost')
