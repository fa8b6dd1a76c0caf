"""Borrows from and lends to the entry programs of other hosts."""

import asyncio
import contextlib

from result import Ok, Result

from egretmill import events
from egretmill.entry.state import EntryState
from egretmill.errors import Failure
from egretmill.logs import log_event
from egretmill.wire import Peer
from egretmill.wire.messages import Borrow, Loans

__all__ = ('LoanExchange',)

# Twice the delay between regions (20 ms) and room for a busy peer.
BORROW_TIMEOUT_S = 0.2
# Loans are renewed and demand is followed at this interval. A refused
# request wakes the exchange at once.
WISH_INTERVAL_S = 0.05
# Refusals of one burst share one round of questions.
GATHER_S = 0.002


class LoanExchange:
    """Sends the questions that the holdings want to ask."""

    def __init__(self, state: EntryState) -> None:
        """Start without connections."""
        self.state = state
        self.links: dict[tuple[str, int], Peer] = {}

    async def run(self) -> None:
        """Ask peers until cancelled."""
        while True:
            self.ask()
            await asyncio.sleep(GATHER_S)
            await self.wait_for_demand()

    async def wait_for_demand(self) -> None:
        """Wait for a refused request or the end of the interval."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WISH_INTERVAL_S):
                await self.state.short.wait()
        self.state.short.clear()

    def ask(self) -> None:
        """Send what the holdings want to ask now."""
        addresses = self.addresses()
        now = self.state.now()
        for name, borrow in self.state.holdings.create_loan_requests(
            now, list(addresses)
        ):
            self.state.spawn(self.borrow(addresses[name], borrow))

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the reachable peers, those of the own domain first."""
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
        """Ask one peer and use its loan, counted from before the call."""
        link = self.links.setdefault(address, Peer(*address))
        sent_at = self.state.now()
        answer = await link.call(borrow, BORROW_TIMEOUT_S)
        now = self.state.now()
        match answer:
            case Ok(Loans() as loans):
                self.state.holdings.receive_loans(borrow, loans, sent_at, now)
                self.log_received(borrow, loans)
                self.state.gate.retry_queued()
            case _:
                self.state.metrics.count('quota.borrow_failed')
                self.state.holdings.record_unanswered(borrow, now)

    def log_received(self, borrow: Borrow, loans: Loans) -> None:
        """Write what was borrowed."""
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
        """Answer a peer's question."""
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

    async def give_back(self) -> None:
        """Return what is borrowed, as part of a shutdown."""
        addresses = self.addresses()
        returned = self.state.holdings.return_all_loans(self.state.now())
        calls = [
            self.borrow(addresses[name], borrow)
            for name, borrow in returned
            if name in addresses
        ]
        await asyncio.gather(*calls)
        for link in self.links.values():
            link.close()
