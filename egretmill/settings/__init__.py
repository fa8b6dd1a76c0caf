"""Settings of one host: addresses, failure domain, platform, logs, metrics."""

from egretmill.settings.model import (
    HostSettings,
    LogSettings,
    MetricsSettings,
    PlatformSettings,
    PortSettings,
    TimingSettings,
)
from egretmill.settings.problems import Problem
from egretmill.settings.toml import decode_settings, decode_toml, load_settings

__all__ = (
    'HostSettings',
    'LogSettings',
    'MetricsSettings',
    'PlatformSettings',
    'PortSettings',
    'Problem',
    'TimingSettings',
    'decode_settings',
    'decode_toml',
    'load_settings',
)
