"""Counters, gauges and timers over statsd; off when not configured."""

import statsd

from egretmill.settings import MetricsSettings

__all__ = ('Metrics',)


class Metrics:
    """Sends metrics of one program under ``egretmill.<program>``."""

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Keep the client; ``None`` switches metrics off."""
        self.client = client

    @classmethod
    def from_settings(
        cls,
        settings: MetricsSettings | None,
        program: str,
    ) -> 'Metrics':
        """Build from the host settings; off when they have no section."""
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
