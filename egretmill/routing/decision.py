"""The outcome of a choice, for the log line and for ``explain``."""

import dataclasses

from egretmill.wire.messages import UpstreamRecord

__all__ = ('Decision',)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The chosen site and upstream with the reasons.

    :param preferred: nearest site that serves the service.
    :param from_region: region of the deciding host.
    :param to_region: region of the chosen site.
    """

    service: str
    site: str
    upstream: UpstreamRecord
    policy: str
    preferred: str
    from_region: str
    to_region: str
    reasons: tuple[str, ...]

    @property
    def shifted(self) -> bool:
        """Tell whether the request leaves its preferred site."""
        return self.site != self.preferred

    @property
    def crosses_regions(self) -> bool:
        """Tell whether the request uses a link between regions."""
        return self.from_region != self.to_region

    def __str__(self) -> str:
        """Return the text of the log line."""
        reasons = '; '.join(self.reasons)
        return (
            f'service={self.service} site={self.site} '
            + f'upstream={self.upstream.name} policy={self.policy} '
            + f'preferred={self.preferred}: {reasons}'
        )
