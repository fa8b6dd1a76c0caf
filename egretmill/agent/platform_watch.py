"""Follows the platform's host list and the rows of the share slots."""

import asyncio

from result import Err, Ok

from egretmill.agent.state import AgentState
from egretmill.membership import slots
from egretmill.membership.slot_lease import SlotLeaseManager, SlotTiming
from egretmill.store import Hosts, StoreClient
from egretmill.wire import PeerClient
from egretmill.wire.messages import FetchHosts, KnownHosts

__all__ = ('PlatformWatch',)

HOST_LIST_INTERVAL_S = 1.0
SEED_TIMEOUT_S = 0.5
# Rows of other failure domains say which slots are free or have a new
# holder; heartbeats say the same earlier for hosts that answer.
ROWS_INTERVAL_S = 3.0
SLOT_TICK_S = 0.2


class PlatformWatch:
    """Keeps host list, share slot and slot rows up to date."""

    def __init__(self, state: AgentState, store: StoreClient) -> None:
        """Read through a client of the platform."""
        self.state = state
        self.store = store

    async def run_hosts(self) -> None:
        """Read the host list until cancelled."""
        while True:
            await self.read_hosts()
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    async def read_hosts(self) -> None:
        """Read the host list once; the last one stays in an outage."""
        read = await self.store.hosts()
        if isinstance(read, Ok):
            self.state.confirmation.record_platform_answer(self.state.now())
            self.state.use_hosts(read.ok_value)
        elif self.state.hosts is None:
            await self.ask_seeds()

    async def ask_seeds(self) -> None:
        """Learn hosts from another agent, as a start without platform."""
        for seed in self.state.settings.seeds:
            address, _, port = seed.rpartition(':')
            link = PeerClient(address, int(port))
            answer = await link.call(FetchHosts(), SEED_TIMEOUT_S)
            link.close()
            known = answer.unwrap_or(None)
            if isinstance(known, KnownHosts):
                self.state.use_hosts(Hosts(known.entry_hosts, known.upstreams))
                return

    async def run_slot(self) -> None:
        """Acquire and renew the share slot until cancelled."""
        while True:
            await self.step_slot()
            await asyncio.sleep(SLOT_TICK_S)

    async def step_slot(self) -> None:
        """Let the keeper do what is due."""
        environment = self.state.environment
        domain = self.state.settings.failure_domain
        if environment is None or domain not in environment.failure_domains:
            return
        layout = slots.layout_for_domain(environment.document, domain)
        if self.state.keeper is None:
            self.state.keeper = self.make_keeper(layout)
        keeper = self.state.keeper
        keeper.apply_layout(layout)
        keeper.timing = SlotTiming(environment.document.quota.lease_s)
        await keeper.step(self.state.now())

    def make_keeper(self, layout: slots.SlotLayout) -> SlotLeaseManager:
        """Return the keeper of this host's slot."""
        holder = slots.Holder(
            self.state.settings.name,
            self.state.settings.address,
            self.state.incarnation,
        )
        return SlotLeaseManager(
            self.store, holder, layout, clock=self.state.now
        )

    async def run_rows(self) -> None:
        """Read the slot rows of all failure domains until cancelled."""
        while True:
            if self.state.environment is not None:
                await self.read_rows()
            await asyncio.sleep(ROWS_INTERVAL_S)

    async def read_rows(self) -> None:
        """Learn which slots are held by whom and which are free."""
        document = self.state.environment.document
        for domain in document.failure_domains:
            sent_at = self.state.now()
            read = await self.store.get_row(slots.row_key(domain.name))
            if isinstance(read, Err):
                return
            body = read.ok_value.body if read.ok_value else ''
            decoded = slots.decode_row(body) if body else Ok(slots.SlotRow())
            if isinstance(decoded, Ok):
                layout = slots.layout_for_domain(document, domain.name)
                holders = holders_of(decoded.ok_value, layout)
                rows = self.state.confirmation.holders
                rows.record_rows(holders, sent_at)


def holders_of(
    row: slots.SlotRow,
    layout: slots.SlotLayout,
) -> dict[int, str | None]:
    """Return the holder of each slot of a domain by fleet-wide index."""
    found: dict[int, str | None] = {}
    for index in range(layout.count):
        held = row.slot_at(index)
        found[layout.first + index] = held.holder if held else None
    return found
