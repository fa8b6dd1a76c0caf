"""A fake agent for the operations port, with an in-memory platform."""

import msgspec
from result import Err, Ok

from egretmill.document import Environment
from egretmill.document.promotion import (
    CURRENT_KEY,
    CurrentVersion,
    Promoter,
)
from egretmill.errors import ErrorKind, Failure
from egretmill.wire.messages import Explained, HostRecord, PeerState
from tests.document.fakes import Clock, FakeStore

__all__ = ('FakeAgent',)


class FakeAgent:
    """The agent of ``eh-1``, with peers that apply versions at once.

    ``lagging`` names hosts that stay at version 0, ``unreachable`` names
    hosts that do not answer.
    """

    host = 'eh-1'

    def __init__(self) -> None:
        """Start without a document."""
        clock = Clock()
        self.store = FakeStore(clock)
        self.promoter = Promoter(self.store, 'eh-1', clock, sleep=clock.sleep)
        self.lagging: set[str] = set()
        self.unreachable: set[str] = set()
        self.state_of: dict[str, str] = {}

    @property
    def environment(self) -> Environment | None:
        """Return the document in force."""
        row = self.store.rows.get(CURRENT_KEY)
        if row is None:
            return None
        current = msgspec.json.decode(row.body, type=CurrentVersion)
        body = self.store.objects[current.digest]
        return Environment.from_bytes(body, version=current.version).unwrap()

    def peers(self):
        """Return the states of all hosts, not sorted by name."""
        return [self.peer(name, slot) for slot, name in enumerate(HOSTS)]

    def peer(self, name: str, slot: int) -> PeerState:
        """Return the state of one host."""
        environment = self.environment
        version = environment.version if environment else 0
        answers = name not in self.unreachable
        return PeerState(
            HostRecord(
                name,
                'tbilisi-a',
                f'10.0.0.{slot}',
                8080,
                8081,
                8090,
                8091,
                self.state_of.get(name, 'live'),
            ),
            incarnation=slot + 5,
            version=0 if name in self.lagging else version,
            reachable=answers,
            leaving=False,
            entry_ready=version > 0,
            slot_index=slot if answers else None,
            confirmation_age_s=0.25 if answers else None,
        )

    async def explain(self, request):
        """Answer for the path ``/rota`` only; ``/crash`` raises."""
        if request.path == '/crash':
            raise ValueError('unexpected')
        if request.path != '/rota':
            return Err(Failure(ErrorKind.UNKNOWN_ROUTE, request.path))
        return Ok(Explained((f'route {request.path}', 'site tb1')))

    async def retire(self, host):
        """Retire ``eh-2`` only."""
        if host != 'eh-2':
            return Err(Failure(ErrorKind.NOT_FOUND, f'{host} has no slot'))
        return Ok(None)


HOSTS = ('eh-3', 'eh-1', 'eh-2')
