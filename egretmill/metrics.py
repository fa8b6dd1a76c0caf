"""Counters, gauges and timers over statsd; disabled unless configured."""

import statsd

from egretmill.settings import MetricsSettings

__all__ = ('Metrics',)


class Metrics:
    """Sends metrics of one program under ``egretmill.<program>``."""

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Send through a client; ``None`` disables the metrics."""
        self.client = client

    @classmethod
    def from_settings(
        cls,
        settings: MetricsSettings | None,
        program: str,
    ) -> 'Metrics':
        """Create from the host settings; disabled without their section."""
        if settings is None:
            return cls(None)
        client = statsd.StatsClient(
            settings.host,
            settings.port,
            prefix=f'egretmill.{program}',
        )
        return cls(client)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self.client is not None:
            self.client.incr(name, amount)

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        if self.client is not None:
            self.client.gauge(name, reading)

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration given in seconds (sent in milliseconds)."""
        if self.client is not None:
            self.client.timing(name, duration_s * 1000)
