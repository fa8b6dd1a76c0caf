"""Promotions in the words of operators."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.promotion_matrix import KEY, Host
from egretmill.document import Environment
from egretmill.document.promotion import Promoter
from egretmill.errors import ErrorKind
from tests.document.fakes import Clock, FakeStore, Fault, edited, sample

scenarios('document/features')

FIRST = sample()
SPARE_LINE = next(line for line in FIRST.splitlines() if 'south spare' in line)
DRAIN = '\n[[drains]]\nkind = "site"\nname = "tb2"\n'


class Fleet:
    """A platform, three hosts and the answers that operators got."""

    def __init__(self) -> None:
        """Put version 1 in force on all hosts."""
        clock = Clock()
        self.store = FakeStore(clock)
        self.hosts = [Host(self.store) for _ in range(3)]
        self.promoter = Promoter(self.store, 'eh-1', clock, sleep=clock.sleep)
        self.answers = []
        self.promote(FIRST.encode(), 0, 'anna-first')
        self.poll()

    def promote(self, body: bytes, version: int, attempt: str) -> None:
        """Promote and keep the answer."""
        call = self.promoter.promote(body, version, attempt, 'anna')
        self.answers.append(asyncio.run(call))

    def poll(self) -> None:
        """Let every host poll once."""
        for host in self.hosts:
            asyncio.run(host.poll())

    @property
    def answer(self):
        """Return the last answer."""
        return self.answers[-1]

    @property
    def version(self) -> int:
        """Return the version in force."""
        return asyncio.run(self.promoter.fetch_current()).unwrap().version


@pytest.fixture
def change() -> bytes:
    """Return a document with another rate."""
    return edited('rate_per_s = 120.0', 'rate_per_s = 130.0')


@given('a fleet with version 1 in force', target_fixture='fleet')
def _():
    return Fleet()


@when('anna and boris both replace version 1')
def _(fleet, change):
    async def race():
        return await asyncio.gather(
            fleet.promoter.promote(change, 1, 'anna-second', 'anna'),
            fleet.promoter.promote(change + b'#', 1, 'boris-one', 'boris'),
        )

    fleet.answers = asyncio.run(race())


@then('exactly one of them is told that version 2 is promoted')
def _(fleet):
    versions = [answer.ok() and answer.ok().version for answer in fleet.answers]
    assert sorted(versions, key=str) == [2, None]


@then('the other is told who promoted version 2')
def _(fleet):
    failure = next(answer.err() for answer in fleet.answers if answer.err())
    assert failure.kind is ErrorKind.VERSION_CONFLICT
    assert 'version 2 is in force, promoted by ' in failure.detail


@given('the platform stops answering in the middle of the next promotion')
def _(fleet):
    fleet.store.switch_faults(
        Fault('put rows', 'lost'),
        Fault('get config/current', 'down', skip=1),
    )


@when('anna replaces version 1')
@when('anna runs promote again with the same attempt id')
def _(fleet, change):
    fleet.promote(change, 1, 'anna-second')


@then('anna is told to run promote again with the same attempt id')
def _(fleet):
    failure = fleet.answer.unwrap_err()
    assert failure.kind is ErrorKind.PROMOTION_UNKNOWN
    assert 'run promote again with the same attempt id' in failure.detail


@when('the platform answers again')
def _(fleet):
    fleet.store.switch_faults()


@then('anna is told that version 2 is promoted')
def _(fleet):
    assert fleet.answer.unwrap().version == 2


@then('version 2 was promoted only once')
def _(fleet):
    assert fleet.version == 2


@given('a caller whose spare key works on every host')
def _(fleet):
    assert all(host.accepts() for host in fleet.hosts)


@when('anna promotes a document without the spare key')
def _(fleet):
    fleet.promote(FIRST.replace(SPARE_LINE, '').encode(), 1, 'anna-second')


@then('the spare key is refused on every host after the next poll')
def _(fleet):
    fleet.poll()
    assert not any(host.accepts() for host in fleet.hosts)


@then('the other keys still work')
def _(fleet):
    before = Environment.from_bytes(FIRST.encode()).unwrap()
    withdrawn = before.account_for(KEY).unwrap().keys[1].digest
    for host in fleet.hosts:
        known = set(host.environment.account_by_digest)
        assert known == set(before.account_by_digest) - {withdrawn}


@when('anna promotes a document without site tb2')
def _(fleet):
    text = FIRST.replace(
        '[[sites]]\nname = "tb2"\nfailure_domain = "tbilisi-b"\n',
        '',
    )
    text = text.replace('"tb2", ', '')
    version = fleet.version
    fleet.promote(text.encode(), version, f'anna-removes-{version}')


@when('anna promotes a document that drains tb2')
def _(fleet):
    fleet.promote((FIRST + DRAIN).encode(), 1, 'anna-drains')


@then(
    parsers.parse('anna is told that {site} was removed without a drain before')
)
def _(fleet, site):
    failure = fleet.answer.unwrap_err()
    assert failure.kind is ErrorKind.TRANSITION_REFUSED
    assert f'$.sites = {site}: removed without a drain' in failure.detail


@then('version 3 is in force without site tb2')
def _(fleet):
    fleet.poll()
    assert fleet.version == 3
    for host in fleet.hosts:
        assert 'tb2' not in host.environment.sites
