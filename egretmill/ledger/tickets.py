"""Tickets: idempotency keys that one entry program keeps in its memory.

A ticket is ``egt1.<host>.<incarnation>.<serial>.<random>``. Only the
incarnation that issued it runs the request, and a ticket runs only while
the book still holds it: one that has expired or was dropped is unknown to
the book, and an unknown ticket is ``owner_lost`` for ever.
"""

import collections
import dataclasses
import random
import re
from typing import Literal

from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.claims import answer_bytes, bounded
from egretmill.wire.messages import ClaimDecision, StoredAnswer

__all__ = ('Ticket', 'TicketBook', 'TicketLimits')

TICKET_PATTERN = re.compile(
    r'egt1\.([a-z0-9][a-z0-9-]{0,62})\.(\d{1,19})\.(\d{1,19})\.([0-9a-f]{16})',
)
RANDOM_BITS = 64

State = Literal['issued', 'running', 'done', 'unknown']
End = Literal['done', 'unknown', 'released']


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """What a ticket says about its origin."""

    host: str
    incarnation: int
    serial: int
    token: str

    @classmethod
    def parse(cls, text: str) -> 'Ticket | None':
        """Read a ticket; ``None`` for any other idempotency key."""
        found = TICKET_PATTERN.fullmatch(text)
        if found is None:
            return None
        host, incarnation, serial, token = found.groups()
        return cls(host, int(incarnation), int(serial), token)

    def __str__(self) -> str:
        """Return the text that callers send as idempotency key."""
        return f'egt1.{self.host}.{self.incarnation}.{self.serial}.{self.token}'


@dataclasses.dataclass(frozen=True, slots=True)
class TicketLimits:
    """Bounds of a book.

    :param lifetime_s: time from issue, or from the end of the request, to
        the expiry of a ticket.
    :param tickets: tickets held at once.
    :param per_account: tickets of one client account, so that one account
        cannot use up the book.
    :param answer_bytes: sum of the answers that are kept; above it the
        oldest answers become ``not_stored``.
    """

    lifetime_s: float = 600.0
    tickets: int = 20000
    per_account: int = 5000
    answer_bytes: int = 4194304


@dataclasses.dataclass(slots=True)
class Entry:
    """State of one ticket."""

    account: str
    changed_at: float
    state: State = 'issued'
    request_digest: str = ''
    answer: StoredAnswer | None = None


class TicketBook:
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
        # Ordered by the time of the last change, so expiry looks at the
        # first entries only. Running tickets are kept apart from them.
        self.idle: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self.running: dict[str, Entry] = {}
        self.answered: collections.OrderedDict[str, int] = (
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
        """Issue a ticket for a client account; ``overloaded`` when full."""
        self.expire(now)
        if self.per_account[account] >= self.limits.per_account:
            detail = 'too many unused tickets of the client account'
            return Err(Failure(ErrorKind.OVERLOADED, detail))
        if len(self.idle) + len(self.running) >= self.limits.tickets:
            return Err(Failure(ErrorKind.OVERLOADED, 'too many tickets'))
        self.serial += 1
        token = f'{rng.getrandbits(RANDOM_BITS):016x}'
        ticket = Ticket(self.host, self.incarnation, self.serial, token)
        self.idle[str(ticket)] = Entry(account, now)
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

        Tickets of other hosts are to be forwarded to them before; here
        they are ``owner_lost`` like all that the book does not hold.
        """
        self.expire(now)
        entry = self.running.get(ticket) or self.idle.get(ticket)
        if entry is None:
            return ClaimDecision('owner_lost')
        if entry.account != account:
            return ClaimDecision('mismatch')
        if entry.state == 'issued':
            entry.state = 'running'
            entry.request_digest = request_digest
            self.running[ticket] = self.idle.pop(ticket)
            return ClaimDecision('granted')
        if entry.request_digest != request_digest:
            return ClaimDecision('mismatch')
        return decision_of(entry)

    def finish(
        self,
        ticket: str,
        end: End,
        answer: StoredAnswer | None,
        now: float,
    ) -> None:
        """Note how the running request of a ticket ended.

        ``released`` says that no byte was sent: the ticket may run again.
        """
        entry = self.running.pop(ticket, None)
        if entry is None:
            return
        entry.changed_at = now
        entry.state = 'issued' if end == 'released' else end
        self.idle[ticket] = entry
        if end == 'done':
            self.keep_answer(ticket, entry, answer)
        self.expire(now)

    def keep_answer(
        self,
        ticket: str,
        entry: Entry,
        answer: StoredAnswer | None,
    ) -> None:
        """Keep an answer; the oldest answers make room for it."""
        entry.answer = bounded(answer)
        size = answer_bytes(entry.answer)
        if entry.answer is None:
            return
        self.answered[ticket] = size
        self.answer_bytes += size
        while self.answer_bytes > self.limits.answer_bytes:
            oldest, size = self.answered.popitem(last=False)
            self.answer_bytes -= size
            self.idle[oldest].answer = None

    def expire(self, now: float) -> None:
        """Drop tickets whose lifetime has ended; running ones stay."""
        horizon = now - self.limits.lifetime_s
        while self.idle:
            ticket = next(iter(self.idle))
            if self.idle[ticket].changed_at > horizon:
                return
            entry = self.idle.pop(ticket)
            self.answer_bytes -= self.answered.pop(ticket, 0)
            self.per_account[entry.account] -= 1
            if not self.per_account[entry.account]:
                self.per_account.pop(entry.account)


def decision_of(entry: Entry) -> ClaimDecision:
    """Return the decision for a repeat of a ticket."""
    match entry.state:
        case 'running':
            return ClaimDecision('in_progress')
        case 'done' if entry.answer is not None:
            return ClaimDecision('repeat', entry.answer)
        case 'done':
            return ClaimDecision('not_stored')
    return ClaimDecision('owner_lost')
