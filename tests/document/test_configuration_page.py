"""``docs/configuration.md`` names every field with its default."""

import pathlib
import re

import msgspec
import pytest

from egretmill.document import load_document
from egretmill.document import model as document
from egretmill.settings import model as settings

DOCS = pathlib.Path(__file__).parents[2] / 'docs'
PAGE = (DOCS / 'configuration.md').read_text()
SECTIONS = {
    '`[[regions]]`': document.Region,
    '`[[failure_domains]]`': document.FailureDomain,
    '`[[sites]]`': document.Site,
    '`[[links]]`': document.Link,
    '`[[services]]`': document.Service,
    '`[[routes]]`': document.Route,
    '`[[accounts]]`': document.ClientAccount,
    '`accounts.keys`': document.Key,
    '`[[drains]]`': document.Drain,
    '`[shift]`': document.ShiftCap,
    '`[quota]`': document.QuotaTiming,
    'Top level': document.Document,
    'Settings': settings.HostSettings,
    '`[platform]`': settings.PlatformSettings,
    '`[ports]`': settings.PortSettings,
    '`[log]`': settings.LogSettings,
    '`[metrics]`': settings.MetricsSettings,
    '`[timing]`': settings.TimingSettings,
}
ROW = re.compile(r'^\| `(\w+)` \|[^|]*\| ([^|]*) \|', re.MULTILINE)


def shown_default(field: msgspec.structs.FieldInfo) -> str:
    """Return the default as the page shows it."""
    if field.required:
        return 'required'
    if isinstance(field.default, msgspec.Struct):
        return 'its defaults'
    if field.default is None:
        return 'none'
    if isinstance(field.default, tuple):
        return 'empty'
    text = msgspec.json.encode(field.default).decode()
    return f'`{text}`'


@pytest.mark.parametrize(('title', 'model'), SECTIONS.items())
def test_section_has_all_fields(title, model):
    """Guards against a field or default missing from the page."""
    section = PAGE.split(f'## {title}\n', 1)[1].split('\n## ', 1)[0]
    expected = [
        (field.encode_name, shown_default(field))
        for field in msgspec.structs.fields(model)
    ]
    assert sorted(ROW.findall(section)) == sorted(expected)


def test_all_models_have_a_section():
    """Guards against a new table without documentation."""
    models = {
        found
        for package in (document, settings)
        for found in vars(package).values()
        if isinstance(found, type) and issubclass(found, msgspec.Struct)
    }
    models -= {document.Model, settings.Model}
    assert models == set(SECTIONS.values())


def test_example_is_valid():
    """Guards against documentation that the tool refuses."""
    assert load_document(DOCS / 'examples/environment.toml').is_ok()
