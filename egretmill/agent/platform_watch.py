"""Polls the platform's host list and the rows of the share slots."""

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
# The rows of all failure domains show which slots are free or have a new
# holder. Heartbeats show the same earlier for hosts that answer.
SLOT_ROWS_INTERVAL_S = 3.0
SLOT_TICK_S = 0.2


class PlatformWatch:
    """Keeps the host list, the share slot and its holders up to date."""

    def __init__(self, state: AgentState, store: StoreClient) -> None:
        """Use a client of the platform."""
        self.state = state
        self.store = store

    async def run_host_list(self) -> None:
        """Read the host list until cancelled."""
        while True:
            await self.read_host_list()
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    async def read_host_list(self) -> None:
        """Read the host list once; during an outage the last one is kept."""
        read = await self.store.hosts()
        if isinstance(read, Ok):
            self.state.confirmation.record_platform_answer(self.state.now())
            self.state.apply_host_list(read.ok_value)
        elif self.state.hosts is None:
            await self.fetch_from_seeds()

    async def fetch_from_seeds(self) -> None:
        """Fetch the host list from a seed, for a start during an outage."""
        for seed in self.state.settings.seeds:
            address, _, port = seed.rpartition(':')
            link = PeerClient(address, int(port))
            answer = await link.call(FetchHosts(), SEED_TIMEOUT_S)
            link.close()
            known = answer.unwrap_or(None)
            if isinstance(known, KnownHosts):
                self.state.apply_host_list(
                    Hosts(known.entry_hosts, known.upstreams)
                )
                return

    async def run_slot_lease(self) -> None:
        """Acquire and renew the share slot until cancelled."""
        while True:
            await self.step_slot_lease()
            await asyncio.sleep(SLOT_TICK_S)

    async def step_slot_lease(self) -> None:
        """Advance the lease of this host's share slot by one step."""
        environment = self.state.environment
        domain = self.state.settings.failure_domain
        if environment is None or domain not in environment.failure_domains:
            return
        layout = slots.layout_for_domain(environment.document, domain)
        if self.state.slot_manager is None:
            self.state.slot_manager = self.make_slot_manager(layout)
        slot_manager = self.state.slot_manager
        slot_manager.apply_layout(layout)
        slot_manager.timing = SlotTiming(environment.document.quota.lease_s)
        await slot_manager.step(self.state.now())

    def make_slot_manager(self, layout: slots.SlotLayout) -> SlotLeaseManager:
        """Return the lease manager of this host's share slot."""
        holder = slots.Holder(
            self.state.settings.name,
            self.state.settings.address,
            self.state.incarnation,
        )
        return SlotLeaseManager(
            self.store, holder, layout, clock=self.state.now
        )

    async def run_slot_rows(self) -> None:
        """Read the slot rows of all failure domains until cancelled."""
        while True:
            if self.state.environment is not None:
                await self.read_slot_rows()
            await asyncio.sleep(SLOT_ROWS_INTERVAL_S)

    async def read_slot_rows(self) -> None:
        """Record the holders of the share slots of all failure domains."""
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
                holders = holders_by_index(decoded.ok_value, layout)
                rows = self.state.confirmation.holders
                rows.record_rows(holders, sent_at)


def holders_by_index(
    row: slots.SlotRow,
    layout: slots.SlotLayout,
) -> dict[int, str | None]:
    """Return the holder of each slot of a domain by its fleet-wide index.

    The holder of a free slot is ``None``.
    """
    holders: dict[int, str | None] = {}
    for index in range(layout.count):
        slot = row.slot_at(index)
        holders[layout.first + index] = slot.holder if slot else None
    return holders
