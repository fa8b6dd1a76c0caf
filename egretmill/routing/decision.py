"""The result of a selection, for the log line and for ``explain``."""

import dataclasses

from egretmill.wire.messages import UpstreamRecord

__all__ = ('Decision',)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The chosen site and upstream, and the reasons for the choice.

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
    def is_shifted(self) -> bool:
        """Return whether the request goes to a site other than preferred."""
        return self.site != self.preferred

    @property
    def crosses_regions(self) -> bool:
        """Return whether the request goes to another region."""
        return self.from_region != self.to_region

    def __str__(self) -> str:
        """Return the text of the log line."""
        reasons = '; '.join(self.reasons)
        return (
            f'service={self.service} site={self.site} '
            + f'upstream={self.upstream.name} policy={self.policy} '
            + f'preferred={self.preferred}: {reasons}'
        )
