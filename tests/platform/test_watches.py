"""Changes of upstreams on their way from the store to all hosts."""

import asyncio

import pytest
from adapter.watches import make_watches
from result import Err, Ok

from egretmill.fleet.freshness import boot_time
from egretmill.fleet.view import Topic
from egretmill.host.state import HostState
from egretmill.host.state_updater import StateUpdater
from egretmill.peers import decode_datagram, encode_datagram
from egretmill.tables import (
    Changes,
    Snapshot,
    StoredRow,
    StoreFailure,
    StoreProblem,
)
from tests.host.fakes import DIALECT, SETTINGS
from tests.platform.test_rows import REGIONS, UPSTREAM, encode

NAME = 'i-1'
SERVICE = 'x'
READY = encode(UPSTREAM)
LEAVING = encode(
    UPSTREAM, Status={**UPSTREAM['Status'], 'State': 'draining', 'Sequence': 5}
)
#: Length of an outage in which entries can lapse, in seconds.
OUTAGE_S = 9.0
UNAVAILABLE = Err(StoreFailure(StoreProblem.UNAVAILABLE, 'slow'))
LIMITED = Err(StoreFailure(StoreProblem.LIMITED))


def put(version, content=READY, name=NAME):
    """Return a row that was written at a version of the store."""
    return StoredRow(name, content, version)


def removal(version, name=NAME):
    """Return a row that was removed at a version of the store."""
    return StoredRow(name, b'', version, removed=True)


class Host:
    """A host without the network: its watch, and what it sends to peers."""

    def __init__(self):
        self.updater = StateUpdater(HostState.from_settings(SETTINGS, DIALECT))
        watches = make_watches(None, self.updater, REGIONS)
        self.watch = watches[Topic.UPSTREAMS]
        self.sent = []
        self.updater.on_read = self.collect

    def collect(self, buffer):
        """Record the changes that a designated reader sends."""
        self.sent.extend(map(encode_datagram, buffer.drain()))

    def answer(self, answer, sent_before_s=0.01):
        """Apply an answer of the store."""
        self.watch.apply_answer(answer, boot_time() - sent_before_s)

    def read_whole(self, version, *rows, sent_before_s=0.01):
        """Apply an answer with all rows of the table."""
        self.answer(Ok(Snapshot(rows, version)), sent_before_s)

    def miss_answers(self):
        """Apply the end of an outage of the store."""
        self.answer(UNAVAILABLE, sent_before_s=OUTAGE_S / 2)

    def read_changes(self, version, *rows):
        """Apply an answer with the changes up to a version."""
        self.answer(Ok(Changes(rows, version)))

    def receive_from(self, reader):
        """Apply all that a designated reader has sent so far."""
        for datagram in reader.sent:
            self.updater.apply_changes(decode_datagram(datagram).ok_value)

    def names(self):
        """Return the names of the upstreams that may get requests."""
        found = self.updater.state.view.upstreams.candidates(SERVICE)
        return [record.name for record in found]


async def test_reader_back_from_an_outage_revives_no_removed_upstream():
    """Guards against requests to an upstream that left long ago.

    The reader gets its entry and the removal in one answer.
    """
    reader, follower = Host(), Host()
    for host in (reader, follower):
        host.read_whole(52, put(3, name='i-2'), sent_before_s=OUTAGE_S)
    follower.read_changes(78, put(53), removal(60))
    reader.sent.clear()
    reader.miss_answers()
    reader.read_changes(91, put(53), removal(60))
    follower.receive_from(reader)
    assert follower.names() == ['i-2']
    assert reader.names() == ['i-2']


async def test_removal_after_a_refused_call_is_not_delayed():
    """Guards against requests to a leaving upstream after one failed call."""
    host = Host()
    host.read_whole(52, put(3))
    host.answer(LIMITED)
    host.read_changes(60, removal(60))
    assert not host.names()


async def test_removal_after_an_outage_reaches_the_peers(monkeypatch):
    """Guards against peers that keep an upstream which lapsed in an outage.

    Messages of another reader arrive while this one waits for the entry.
    """
    monkeypatch.setattr('egretmill.host.state_updater.REREGISTRATION_S', 0.05)
    reader, other_reader, follower = Host(), Host(), Host()
    for host in (reader, other_reader, follower):
        host.read_whole(52, put(3), sent_before_s=OUTAGE_S)
    reader.miss_answers()
    reader.read_changes(60, removal(60))
    other_reader.read_changes(61, put(61, name='i-2'))
    reader.sent.clear()
    await asyncio.sleep(0.06)
    reader.receive_from(other_reader)
    reader.read_changes(62)
    follower.receive_from(reader)
    assert not follower.names()


@pytest.mark.parametrize('stale', [READY, encode(UPSTREAM, born=16)])
def test_older_report_changes_nothing(stale):
    """Guards against sending to a leaving upstream after an older report."""
    host = Host()
    host.read_whole(50, put(50, LEAVING))
    load = host.updater.state.pool.loads[NAME]
    host.sent.clear()
    host.read_changes(51, put(51, stale))
    assert not host.updater.state.pool.is_eligible(load)
    assert load.record.beat == 5
    assert not host.sent


async def test_read_that_lacks_a_newer_record_of_a_peer_keeps_it():
    """Guards against a new upstream that is dropped by an older read."""
    reader, follower = Host(), Host()
    reader.read_whole(50)
    reader.read_changes(55, put(55))
    follower.read_whole(50)
    follower.receive_from(reader)
    follower.read_whole(54)
    assert follower.names() == [NAME]
    follower.read_whole(56)
    assert not follower.names()
