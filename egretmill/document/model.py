"""Validated model of the environment document (TOML)."""

from typing import Annotated, Literal

import msgspec

__all__ = (
    'ClientAccount',
    'Document',
    'Drain',
    'FailureDomain',
    'Key',
    'Link',
    'QuotaTiming',
    'Region',
    'Route',
    'Service',
    'ShiftCap',
    'Site',
)

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}\Z')]
Digest = Annotated[str, msgspec.Meta(pattern=r'^sha256:[0-9a-f]{64}\Z')]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1000000)]
Tokens = Annotated[int, msgspec.Meta(ge=1, le=1000000)]
# Name of an object in the object store, see ``body_digest``.
ObjectDigest = Annotated[str, msgspec.Meta(pattern=r'^xxh3:[0-9a-f]{32}\Z')]
Label = Annotated[str, msgspec.Meta(max_length=64)]
Path = Annotated[str, msgspec.Meta(pattern=r'^/[^\s\x00-\x1f\x7f?#]*\Z')]
Method = Literal['GET', 'HEAD', 'POST', 'PUT', 'DELETE']


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all tables of the document; unknown fields are errors."""


class Region(Model):
    """A region, which groups failure domains."""

    name: Name


class FailureDomain(Model):
    """A failure domain and the number of share slots of its entry hosts."""

    name: Name
    region: Name
    share_slots: Annotated[int, msgspec.Meta(ge=0, le=1000)]


class Site(Model):
    """A site of upstreams inside one failure domain."""

    name: Name
    failure_domain: Name


class Link(Model):
    """Bandwidth that egretmill may use between two regions, per direction."""

    regions: tuple[Name, Name]
    megabits_per_s: Rate


class Key(Model):
    """The digest of a granted API key, with a label for operators."""

    digest: Digest
    label: Label = ''


class ClientAccount(Model):
    """A client account: its rate (requests/s), burst and keys."""

    name: Name
    rate_per_s: Rate
    burst: Tokens
    keys: tuple[Key, ...] = ()


class Service(Model):
    """A service and the sites that serve it."""

    name: Name
    sites: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]


class Route(Model):
    """Which requests go to which service, and under which rules.

    ``time_limit_ms`` bounds the whole request unless the caller asks for
    less. ``when_unconfirmed`` selects the behaviour of a host whose document
    version is no longer confirmed; by default it serves only idempotent and
    open routes.
    """

    path: Path
    service: Name
    methods: Annotated[tuple[Method, ...], msgspec.Meta(min_length=1)]
    access: Literal['open', 'keyed'] = 'keyed'
    idempotent: bool = False
    time_limit_ms: Annotated[int, msgspec.Meta(ge=10, le=3600000)] = 10000
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 1048576
    when_unconfirmed: Literal['serve', 'refuse'] | None = None

    @property
    def serves_unconfirmed(self) -> bool:
        """Return whether an unconfirmed host still serves this route."""
        if self.when_unconfirmed is not None:
            return self.when_unconfirmed == 'serve'
        return self.idempotent or self.access == 'open'


class Drain(Model):
    """A planned drain of a site, an upstream or an entry host."""

    kind: Literal['site', 'upstream', 'host']
    name: Name


class ShiftCap(Model):
    """Rate limit for requests that move from their preferred site to another.

    It applies to each ordered pair of sites, summed over all hosts.
    """

    rate_per_s: Rate = 50.0
    burst: Tokens = 50


class QuotaTiming(Model):
    """Durations of the quota protocol, in seconds."""

    lease_s: Annotated[float, msgspec.Meta(ge=1, le=86400)] = 4200.0
    loan_s: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 2.0
    unconfirmed_grace_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 5.0


class Document(Model):
    """The whole environment document."""

    regions: tuple[Region, ...]
    failure_domains: tuple[FailureDomain, ...]
    sites: tuple[Site, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    links: tuple[Link, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    drains: tuple[Drain, ...] = ()
    shift: ShiftCap = ShiftCap()
    quota: QuotaTiming = QuotaTiming()
    client_blocks: ObjectDigest | None = None
