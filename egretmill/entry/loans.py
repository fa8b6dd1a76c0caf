"""Borrows quota from and lends it to the entry programs of other hosts."""

import asyncio
import contextlib

from result import Ok, Result

from egretmill import events
from egretmill.entry.state import EntryState
from egretmill.errors import Failure
from egretmill.logs import log_event
from egretmill.wire import PeerClient
from egretmill.wire.messages import Borrow, Loans

__all__ = ('LoanExchange',)

# A round trip between regions (twice 20 ms) and a margin for a busy peer.
BORROW_TIMEOUT_S = 0.2
# Interval at which loans are renewed and adjusted to demand. A refused
# request starts a round at once.
BORROW_INTERVAL_S = 0.05
# Refusals within this time share one round of loan requests.
REFUSAL_BATCH_S = 0.002


class LoanExchange:
    """Sends the loan requests that the holdings ask for."""

    def __init__(self, state: EntryState) -> None:
        """Start without connections."""
        self.state = state
        self.connections: dict[tuple[str, int], PeerClient] = {}

    async def run(self) -> None:
        """Borrow from peers until cancelled."""
        while True:
            self.send_loan_requests()
            await asyncio.sleep(REFUSAL_BATCH_S)
            await self.wait_for_demand()

    async def wait_for_demand(self) -> None:
        """Wait for a refused request or the end of the interval."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BORROW_INTERVAL_S):
                await self.state.shortage.wait()
        self.state.shortage.clear()

    def send_loan_requests(self) -> None:
        """Send the loan requests that are due now."""
        addresses = self.reachable_addresses()
        now = self.state.now()
        for name, borrow in self.state.holdings.create_loan_requests(
            now, list(addresses)
        ):
            self.state.spawn(self.borrow(addresses[name], borrow))

    def reachable_addresses(self) -> dict[str, tuple[str, int]]:
        """Return addresses by peer, this failure domain's peers first."""
        domain = self.state.settings.failure_domain
        reachable = [
            peer.host
            for peer in self.state.peers()
            if peer.reachable and peer.entry_ready
        ]
        reachable.sort(key=lambda host: host.failure_domain != domain)
        return {
            host.name: (host.address, host.entry_peer_port)
            for host in reachable
        }

    async def borrow(self, address: tuple[str, int], borrow: Borrow) -> None:
        """Borrow from one peer.

        A loan's duration counts from before the call: it then ends here
        no later than at the lender.
        """
        connection = self.connections.setdefault(address, PeerClient(*address))
        sent_at = self.state.now()
        answer = await connection.call(borrow, BORROW_TIMEOUT_S)
        now = self.state.now()
        match answer:
            case Ok(Loans() as loans):
                self.state.holdings.receive_loans(borrow, loans, sent_at, now)
                self.log_received(borrow, loans)
                self.state.admission_controller.retry_queued()
            case _:
                self.state.metrics.count('quota.borrow_failed')
                self.state.holdings.record_unanswered(borrow, now)

    def log_received(self, borrow: Borrow, loans: Loans) -> None:
        """Log and count the loans received."""
        self.state.metrics.count('quota.borrowed', len(loans.loans))
        for loan in loans.loans:
            log_event(
                events.CATALOGUE.LOAN_RECEIVED,
                total=borrow.total,
                amount=loan.amount,
                tokens=loan.tokens,
                loan=loan.loan_id,
            )

    def lend(self, borrow: Borrow) -> Result[Loans, Failure]:
        """Answer a peer's loan request."""
        loans = self.state.holdings.lend(borrow, self.state.now())
        self.state.metrics.count('quota.lent', len(loans.loans))
        for loan in loans.loans:
            log_event(
                events.CATALOGUE.LOAN_GRANTED,
                borrower=borrow.borrower,
                total=borrow.total,
                amount=loan.amount,
                tokens=loan.tokens,
                loan=loan.loan_id,
            )
        return Ok(loans)

    async def return_loans(self) -> None:
        """Return all borrowed quota, as part of a shutdown."""
        addresses = self.reachable_addresses()
        returned = self.state.holdings.return_all_loans(self.state.now())
        calls = [
            self.borrow(addresses[name], borrow)
            for name, borrow in returned
            if name in addresses
        ]
        await asyncio.gather(*calls)
        for connection in self.connections.values():
            connection.close()
