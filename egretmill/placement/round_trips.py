"""Observed round-trip times to the upstreams of each region."""

__all__ = ('RoundTrips',)

#: Weight of a sample above the estimate. Small, because such a sample also
#: contains the time that the connection waited at one of its ends.
RISING_WEIGHT = 0.02


class RoundTrips:
    """Round-trip time by region, from the time that connecting takes."""

    def __init__(self) -> None:
        """Start without samples."""
        self.by_region: dict[str, float] = {}

    def add(self, region: str, connected_in_s: float) -> None:
        """Add the time that opening a connection took."""
        current = self.by_region.get(region, connected_in_s)
        if connected_in_s > current:
            current += RISING_WEIGHT * (connected_in_s - current)
        else:
            current = connected_in_s
        self.by_region[region] = current

    def seconds_to(self, region: str) -> float:
        """Return the round-trip time to a region, 0 before any sample."""
        return self.by_region.get(region, 0)
