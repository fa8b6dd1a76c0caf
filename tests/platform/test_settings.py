"""Loading the settings file that the platform writes."""

import pytest
from adapter.settings import load_settings
from result import Err

SETTINGS_FILE = """
[host]
name = "edge-1"
address = "10.0.0.1"
failure_domain = "west-a"
region = "west"
room = 0.86
memory_mb = 560

[listen]
entry = "10.0.0.1:8686"
readiness = "10.0.0.1:8680"
directory = "10.0.0.1:8684"
metrics = 9109
peers = 7740

[store]
address = "10.200.1.7:8682"

[regions]
"west-a" = "west"

[bounds]
Revoke = "5000ms"
FailClosed = "true"
QuotaOverage = "0.1"
Grace = "6s"
Unknown = "x"
"""


def load(tmp_path, text):
    """Write a text to a settings file and load it."""
    path = tmp_path / 'host.toml'
    path.write_text(text)
    return load_settings(path)


def test_settings_are_read(tmp_path):
    """Guards against a setting that is ignored and left at its default."""
    loaded = load(tmp_path, SETTINGS_FILE).ok_value
    assert loaded.host.entry.port == 8686
    assert loaded.store.address == '10.200.1.7'
    assert loaded.host.memory_bytes == 560 << 20
    assert loaded.host.bounds.revoke_s == 5
    assert loaded.host.bounds.fail_closed is True
    assert loaded.host.bounds.excess_fraction == pytest.approx(0.1)
    assert loaded.host.regions == {'west-a': 'west'}


@pytest.mark.parametrize(
    ('old', 'new', 'field_path'),
    [
        ('name = "edge-1"', 'name = ""', '$.host.name'),
        ('room = 0.86', 'room = 0', '$.host.room'),
        ('peers = 7740', 'peers = 77400', '$.listen.peers'),
        ('"10.0.0.1:8686"', '"8686"', '$.listen.entry'),
        ('"5000ms"', '"5000"', '$.bounds.Revoke'),
        ('"true"', '"yes"', '$.bounds.FailClosed'),
        ('[store]', '[store', '$'),
    ],
)
def test_invalid_settings_name_the_field(tmp_path, old, new, field_path):
    """Guards against a host that starts with invalid settings."""
    loaded = load(tmp_path, SETTINGS_FILE.replace(old, new))
    assert isinstance(loaded, Err)
    assert [problem.path for problem in loaded.err_value] == [field_path]


def test_missing_file_is_an_error(tmp_path):
    """Guards against a stack trace instead of an error message."""
    assert isinstance(load_settings(tmp_path / 'none.toml'), Err)
