"""Counters and latency histograms, served as text."""

import prometheus_client as prometheus

__all__ = ('HostMetrics',)

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.4,
    0.6,
    0.8,
    1.2,
    2.5,
    5.0,
)


class HostMetrics:
    """Metrics of one host process; docs/metrics.md lists them."""

    def __init__(self) -> None:
        """Register all metrics in a registry of their own."""
        self.registry = prometheus.CollectorRegistry()
        self.answers = self._counter(
            'answers',
            'Answers to callers.',
            ('route', 'status'),
        )
        self.refusals = self._counter(
            'refusals',
            'Requests that this host answered itself.',
            ('kind', 'outcome'),
        )
        self.attempts = self._counter(
            'attempts',
            'Requests sent to upstreams, by how they ended.',
            ('service', 'end'),
        )
        self.retries = self._counter(
            'retries',
            'Further attempts; denied ones had no budget.',
            ('service', 'allowed'),
        )
        self.store_calls = self._counter(
            'store_calls',
            'Calls to the store of the platform.',
            ('call', 'end'),
        )
        self.malformed = self._counter(
            'malformed_rows',
            'Rows of the store that could not be used.',
            ('table',),
        )
        self.leaving = self._counter(
            'upstreams_leaving',
            'Upstreams that said in an answer that they leave.',
            ('service',),
        )
        self.pauses = self._counter(
            'upstream_pauses',
            'Pauses that upstreams asked of this host.',
            ('service',),
        )
        self.accepted = self._counter(
            'accepted_connections', 'Connections of callers.', ()
        )
        self.accept_failures = self._counter(
            'accept_failures',
            'Connections that the entry listener could not accept.',
            (),
        )
        self.callers_evicted = self._counter(
            'callers_evicted',
            'Connections of callers that were ended for their memory.',
            (),
        )
        self.caller_memory = self._gauge(
            'caller_memory_bytes',
            'What the connections of callers keep in memory.',
        )
        self.connections = prometheus.Gauge(
            'egretmill_connections',
            'Open connections, of callers or to upstreams.',
            ('kind',),
            registry=self.registry,
        )
        self.requests = self._gauge(
            'requests_in_progress', 'Requests of callers that are served.'
        )
        self.loop_busy = self._gauge(
            'event_loop_busy_seconds',
            'Longest iteration of the event loop in the last second.',
        )
        self.link_bytes = self._counter(
            'link_bytes',
            'Bytes of callers and upstreams that passed the link.',
            ('direction',),
        )
        self.log_lines_suppressed = self._counter(
            'log_lines_suppressed',
            'Log lines over the bound of the volume.',
            (),
        )
        self.latency = prometheus.Histogram(
            'egretmill_request_seconds',
            'Time from the head of a request to its answer.',
            ('route',),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.peers = self._gauge('peers_alive', 'Other hosts heard lately.')
        self.version = self._gauge('configuration_version', 'In force here.')
        self.configuration_age = self._gauge(
            'configuration_age_seconds',
            'Age of the proof that the configuration is current.',
        )
        self.share = self._gauge('share', 'Owned part of fleet-wide limits.')

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus.generate_latest(self.registry)

    def _counter(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...],
    ) -> prometheus.Counter:
        return prometheus.Counter(
            f'egretmill_{name}',
            text,
            labels,
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> prometheus.Gauge:
        return prometheus.Gauge(
            f'egretmill_{name}',
            text,
            registry=self.registry,
        )
