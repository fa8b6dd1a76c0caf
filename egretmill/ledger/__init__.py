"""Claims for idempotency keys, tickets and stored answers."""

from egretmill.ledger.claims import (
    MAX_ANSWER_BYTES,
    MAX_KEY_CHARS,
    ClaimRow,
    row_key,
)
from egretmill.ledger.service import ClaimLimits, ClaimService
from egretmill.ledger.tickets import Ticket, TicketLimits, TicketRegistry

__all__ = (
    'MAX_ANSWER_BYTES',
    'MAX_KEY_CHARS',
    'ClaimLimits',
    'ClaimRow',
    'ClaimService',
    'Ticket',
    'TicketLimits',
    'TicketRegistry',
    'row_key',
)
