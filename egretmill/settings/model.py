"""Model of the host settings file, with the limits of each field."""

from typing import Annotated, Literal

import msgspec

__all__ = (
    'HostSettings',
    'LogSettings',
    'MetricsSettings',
    'PlatformSettings',
    'PortSettings',
    'TimingSettings',
)

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}\Z')]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Seed = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:]+:[0-9]{1,5}\Z')]
TokenDigest = Annotated[str, msgspec.Meta(pattern=r'^sha256:[0-9a-f]{64}\Z')]


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings tables; unknown fields are errors."""


class PortSettings(Model):
    """TCP ports on the host's address."""

    entry: Port = 8080
    steer: Port = 8081
    agent: Port = 8090
    entry_peer: Port = 8091
    operations: Port = 8092


class PlatformSettings(Model):
    """URL of the platform's service and the timeout of a call."""

    url: Annotated[str, msgspec.Meta(pattern=r'^https?://[^ ]+\Z')]
    timeout_s: Seconds = 0.5


class LogSettings(Model):
    """Format and level of the logs on standard error."""

    format: Literal['text', 'json'] = 'text'
    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class MetricsSettings(Model):
    """Address of the statsd server; without this table no metrics are sent."""

    host: str
    port: Port = 8125


class TimingSettings(Model):
    """Intervals of the polling loops and durations of a shutdown."""

    platform_poll_s: Seconds = 0.5
    heartbeat_s: Seconds = 0.5
    agent_poll_s: Seconds = 0.2
    drain_s: Seconds = 6.0
    shutdown_limit_s: Seconds = 60.0


class HostSettings(Model):
    """Settings of one host, shared by its programs.

    ``seeds`` are addresses of other hosts' agents, as ``IP:port``. A host
    that starts while the platform is down fetches hosts, upstreams and the
    document from them.

    ``operations_token_digest`` is the digest of the token that operators
    send; without it the operations port requires no token.
    """

    name: Name
    failure_domain: Name
    address: str
    platform: PlatformSettings
    ports: PortSettings = PortSettings()
    log: LogSettings = LogSettings()
    timing: TimingSettings = TimingSettings()
    metrics: MetricsSettings | None = None
    operations_token_digest: TokenDigest | None = None
    seeds: tuple[Seed, ...] = ()
