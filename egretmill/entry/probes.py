"""Polls the load reports of upstreams."""

import asyncio

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from egretmill.decoding import DECODE_ERRORS
from egretmill.entry.state import EntryState
from egretmill.wire.messages import UpstreamRecord

__all__ = ('LoadProbe', 'LoadReport')

# A report older than 2 s is not used, so two may be lost in a row.
PROBE_INTERVAL_S = 0.6
#: Failures of a probe, with those of an answer that is not a load report.
PROBE_ERRORS = (HTTPError, OSError, *DECODE_ERRORS)
PROBE_TIMEOUT_S = 0.5
MAX_PROBES_AT_ONCE = 16


class LoadReport(msgspec.Struct, frozen=True):
    """``GET /load`` of an upstream: requests running for all hosts."""

    running: int
    draining: bool = False


class LoadProbe:
    """Polls the load of all upstreams at sites in use."""

    def __init__(self, state: EntryState) -> None:
        """Start without reports."""
        self.state = state
        self.client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_PROBES_AT_ONCE,
        )

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.gather(
                asyncio.sleep(PROBE_INTERVAL_S),
                *(self.probe(upstream) for upstream in self.used_upstreams()),
            )

    def used_upstreams(self) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams of the sites that this host uses."""
        sites = self.state.sites_in_use()
        return tuple(
            upstream
            for upstream in self.state.upstreams
            if (upstream.service, upstream.site) in sites
        )

    async def probe(self, upstream: UpstreamRecord) -> None:
        """Fetch one report; after a failure the last one stays in use."""
        url = f'http://{upstream.address}:{upstream.port}/load'
        try:
            answer = await self.client.fetch(
                url,
                connect_timeout=PROBE_TIMEOUT_S,
                request_timeout=PROBE_TIMEOUT_S,
            )
            report = msgspec.json.decode(answer.body, type=LoadReport)
        except PROBE_ERRORS:
            self.state.metrics.count('probe.failed')
            return
        self.state.table.record_report(
            upstream.name,
            report.running,
            report.draining,
            self.state.now(),
        )
