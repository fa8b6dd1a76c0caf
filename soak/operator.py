"""The operator, the store and the registry of upstreams."""

import dataclasses
import functools
import json
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from soak.links import DatagramPair
from soak.record import Key, Record
from soak.upstreams import SLOTS, SoakUpstream
from standins.tables import TableServer, make_application

__all__ = ('ROUTES', 'Operator', 'RouteSpec', 'StoreView')

ROSTER_TABLE = 'egretmill-roster'
AUTHORITY = 'soak.example'
RATE_PER_S = 60
BURST = 20


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSpec:
    """A route of the soak."""

    name: str
    kind: str
    service: str
    attempts: int
    timeout_s: float = 1.5

    @property
    def prefix(self) -> str:
        """Return the path prefix."""
        return f'/{self.name}/'


ROUTES = (
    RouteSpec('views', 'safe', 'board', 3),
    RouteSpec('swaps', 'unsafe', 'ledger', 2),
    RouteSpec('files', 'upload', 'intake', 2),
)


class StoreView:
    """The store as one host sees it: peers stand behind datagram pairs."""

    def __init__(
        self,
        server: TableServer,
        host: str,
        pairs: dict[frozenset[str], DatagramPair],
    ) -> None:
        """Serve on a free port."""
        self.host = host
        self.pairs = pairs
        listener, port = bind_unused_port()
        self.address = ('127.0.0.1', port)
        self.http = HTTPServer(make_application(server, self.show))
        self.http.add_socket(listener)

    def show(self, table: str, key: str, content: bytes) -> bytes:
        """Return a row as the host sees it."""
        pair = self.pairs.get(frozenset((self.host, key)))
        if table != ROSTER_TABLE or pair is None:
            return content
        entry = json.loads(content)
        address, port = pair.address(key)
        shown = {**entry, 'address': address, 'port': port}
        return json.dumps(shown).encode()


class Operator:
    """Writes configurations and the entries of upstreams."""

    def __init__(self, record: Record, now: Any) -> None:
        """Start with an empty store."""
        self.record = record
        self.now = now
        self.store = TableServer()
        self.version = 0
        self.accounts = {'first': RATE_PER_S, 'second': RATE_PER_S}
        self.numbers = iter(range(1, 100000))
        for account in self.accounts:
            self.add_key(account)

    def add_key(self, account: str) -> None:
        """Give an account another key, with the next configuration."""
        text = f'key-{next(self.numbers)}'
        self.record.keys[text] = Key(text, account, self.now())

    def keys_of(self, account: str) -> list[str]:
        """Return the keys in force."""
        return [
            key.text
            for key in self.record.keys.values()
            if key.account == account and key.withdrawn_at > self.now()
        ]

    def withdraw_key(self, account: str) -> None:
        """Replace the oldest key of an account."""
        self.add_key(account)
        oldest = self.keys_of(account)[0]
        self.record.keys[oldest].withdrawn_at = self.now()
        self.publish()

    def publish(self) -> None:
        """Write the next version."""
        self.version += 1
        tenants = [
            {
                'Name': account,
                'ApiKeys': self.keys_of(account),
                'RatePerS': rate,
                'Burst': BURST,
            }
            for account, rate in self.accounts.items()
        ]
        body = {
            'Version': f'{self.version:08x}',
            'Tenants': tenants,
            'Listeners': [
                {'Host': AUTHORITY, 'Rules': list(map(rule, ROUTES))}
            ],
            'Clusters': [{'Name': route.service} for route in ROUTES],
        }
        self.store.put('op', 'config', json.dumps(body).encode())

    def evacuate(self, domain: str, *, ends: bool) -> None:
        """Ask for nothing more to a domain, or take that back."""
        key = f'evacuate/{domain}'
        if ends:
            self.store.remove('op', key)
        else:
            self.store.put('op', key, b'{}')

    def register(
        self,
        upstream: SoakUpstream,
        address: tuple[str, int],
        state: str = 'ready',
    ) -> None:
        """Write the entry of an upstream."""
        if state != 'ready':
            self.record.left.setdefault(upstream.name, self.now())
        body = {
            'Address': f'{address[0]}:{address[1]}',
            'Info': {
                'Service': upstream.service,
                'Zone': upstream.domain,
                'Slots': SLOTS,
            },
            'Status': {
                'State': state,
                'Sequence': next(self.numbers),
                'ColdRemaining': '0ms',
            },
            'born': upstream.born,
        }
        self.store.put('servers', upstream.name, json.dumps(body).encode())

    def unregister(self, name: str) -> None:
        """Remove the entry of an upstream."""
        self.record.left.setdefault(name, self.now())
        self.store.remove('servers', name)


@functools.cache
def rule(route: RouteSpec) -> dict[str, Any]:
    """Return a route on the wire."""
    return {
        'Name': route.name,
        'Kind': route.kind,
        'Match': {'PathPrefix': route.prefix},
        'Action': {
            'Service': route.service,
            'Timeout': f'{route.timeout_s}s',
            'MaxAttempts': route.attempts,
        },
        'TargetLatency': '300ms',
    }
