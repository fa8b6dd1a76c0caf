"""Reports what the host has taken on: connections, requests, lateness."""

import asyncio
import dataclasses
import operator

from egretmill import events
from egretmill.host.handler import EntryHandler
from egretmill.host.settings import HostSettings
from egretmill.host.state import HostState
from egretmill.logs import log_event

__all__ = ('LoadReport',)

#: Time between two reports, in seconds.
REPORT_INTERVAL_S = 1.0
#: A report is logged from this length of an iteration, in seconds ...
LOGGED_ITERATION_S = 0.25
#: ... from this fraction of the descriptors in use ...
LOGGED_DESCRIPTOR_FRACTION = 0.3
#: ... or from this fraction of the link's bandwidth.
LOGGED_LINK_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Connections and requests of a host, and its last second.

    :param upstreams: connections, those that are being opened included.
    :param accept_failures: connections that the entry could not accept.
    :param received_bytes: from callers and upstreams.
    :param sent_bytes: to callers and upstreams.
    """

    callers: int
    upstreams: int
    requests: int
    accept_failures: int
    longest_iteration_s: float
    received_bytes: int
    sent_bytes: int

    def is_high(self, settings: HostSettings) -> bool:
        """Return whether a resource of the host is short."""
        link_bytes = settings.capacity.link_bytes_per_s * REPORT_INTERVAL_S
        return (
            self.accept_failures > 0
            or self.longest_iteration_s > LOGGED_ITERATION_S
            or self.callers + self.upstreams
            > settings.descriptors * LOGGED_DESCRIPTOR_FRACTION
            or max(self.received_bytes, self.sent_bytes)
            > link_bytes * LOGGED_LINK_FRACTION
        )


class LoadReport:
    """Updates the gauges of the load, and logs a high one."""

    def __init__(self, state: HostState, handler: EntryHandler) -> None:
        """Report on a host."""
        self.state = state
        self.handler = handler
        #: Bytes received and sent, and failed accepts, as last reported.
        self.passed = (0, 0, 0)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Update the gauges; log the load if it is high."""
        load = self.take_load()
        metrics = self.state.metrics
        metrics.connections.labels('caller').set(load.callers)
        metrics.connections.labels('upstream').set(load.upstreams)
        metrics.requests.set(load.requests)
        metrics.caller_memory.set(self.handler.memory.used_bytes)
        metrics.loop_busy.set(load.longest_iteration_s)
        metrics.link_bytes.labels('in').inc(load.received_bytes)
        metrics.link_bytes.labels('out').inc(load.sent_bytes)
        if load.is_high(self.state.settings):
            log_event(
                events.CATALOGUE.LOAD_HIGH,
                **dataclasses.asdict(load),
                descriptors=self.state.settings.descriptors,
                ready=self.state.is_ready,
            )

    def take_load(self) -> Load:
        """Return the load now and since the last call."""
        callers = self.handler.usage
        upstreams = self.state.pool.usage
        before = self.passed
        self.passed = (
            callers.received_bytes + upstreams.received_bytes,
            callers.sent_bytes + upstreams.sent_bytes,
            self.state.accept_failures,
        )
        received, sent, failures = map(operator.sub, self.passed, before)
        timer = self.handler.iterations
        longest_s = timer.take_longest() if timer else 0
        return Load(
            callers.open_connections,
            upstreams.descriptors,
            len(self.handler.tasks),
            failures,
            round(longest_s, 3),
            received,
            sent,
        )
