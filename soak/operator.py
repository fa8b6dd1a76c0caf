"""The operator of the fleet, and the store as each host sees it."""

import dataclasses
import functools
import json
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from soak.links import HostLink
from soak.record import Key, Record
from soak.upstreams import SLOTS, SoakUpstream
from standins.tables import SavedTables, TableServer, make_application

__all__ = ('ROUTES', 'Operator', 'RouteSpec', 'StoreView')

#: Tables whose writers write again what the store has lost.
RESTORED_TABLES = frozenset(('op', 'servers'))
ROSTER_TABLE = 'egretmill-roster'
AUTHORITY = 'soak.example'
RATE_PER_S = 60
BURST = 20


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSpec:
    """A route in the configuration of the fleet."""

    name: str
    kind: str
    service: str
    max_attempts: int
    timeout_s: float = 1.5

    @property
    def prefix(self) -> str:
        """Return the path prefix that the route matches."""
        return f'/{self.name}/'


ROUTES = (
    RouteSpec('views', 'safe', 'board', 3),
    RouteSpec('swaps', 'unsafe', 'ledger', 2),
    RouteSpec('files', 'upload', 'intake', 2),
)


class StoreView:
    """HTTP server of the store for one host.

    It replaces the addresses of the host's peers by those of the datagram
    links to them.
    """

    def __init__(
        self,
        server: TableServer,
        host: str,
        peer_links: dict[frozenset[str], HostLink],
    ) -> None:
        """Serve on a free port."""
        self.host = host
        self.peer_links = peer_links
        listener, port = bind_unused_port()
        self.address = ('127.0.0.1', port)
        self.http = HTTPServer(make_application(server, self.rewrite_row))
        self.http.add_socket(listener)

    def rewrite_row(self, table: str, key: str, content: bytes) -> bytes:
        """Return the content of a row as the host must see it."""
        link = self.peer_links.get(frozenset((self.host, key)))
        if table != ROSTER_TABLE or link is None:
            return content
        entry = json.loads(content)
        address, port = link.get_address(key)
        rewritten = {**entry, 'address': address, 'port': port}
        return json.dumps(rewritten).encode()


class Operator:
    """Writes configurations, evacuations and upstream entries."""

    def __init__(self, record: Record, now: Any) -> None:
        """Start with an empty store."""
        self.record = record
        self.now = now
        self.store = TableServer(era=1)
        self.version = 0
        self.accounts = {'first': RATE_PER_S, 'second': RATE_PER_S}
        self.serial_numbers = iter(range(1, 100000))
        for account in self.accounts:
            self.add_key(account)

    def add_key(self, account: str) -> None:
        """Add a key to an account; the next configuration contains it."""
        text = f'key-{next(self.serial_numbers)}'
        self.record.keys[text] = Key(text, account, self.now())

    def get_active_keys(self, account: str) -> list[str]:
        """Return the keys of an account that are not withdrawn."""
        return [
            key.text
            for key in self.record.keys.values()
            if key.account == account and key.withdrawn_at > self.now()
        ]

    def withdraw_key(self, account: str) -> None:
        """Replace the oldest key of an account and publish the change."""
        self.add_key(account)
        oldest = self.get_active_keys(account)[0]
        self.record.keys[oldest].withdrawn_at = self.now()
        self.publish()

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        tenants = [
            {
                'Name': account,
                'ApiKeys': self.get_active_keys(account),
                'RatePerS': rate,
                'Burst': BURST,
            }
            for account, rate in self.accounts.items()
        ]
        body = {
            'Version': f'{self.version:08x}',
            'Tenants': tenants,
            'Listeners': [
                {'Host': AUTHORITY, 'Rules': list(map(encode_rule, ROUTES))}
            ],
            'Clusters': [{'Name': route.service} for route in ROUTES],
        }
        self.store.put('op', 'config', json.dumps(body).encode())

    def evacuate(self, domain: str, *, ends: bool) -> None:
        """Start or end the evacuation of a failure domain."""
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
                'Sequence': next(self.serial_numbers),
                'ColdRemaining': '0ms',
            },
            'born': upstream.incarnation,
        }
        self.store.put('servers', upstream.name, json.dumps(body).encode())

    def restore(self, saved: SavedTables) -> None:
        """Let the store return from a copy, and write again what it lost."""
        written = {
            row: content
            for row, (content, _) in self.store.rows.items()
            if row[0] in RESTORED_TABLES
        }
        self.store.restore(saved)
        stored = {
            row: content
            for row, (content, _) in self.store.rows.items()
            if row[0] in RESTORED_TABLES
        }
        for row in stored.keys() - written.keys():
            self.store.remove(*row)
        for row, content in written.items():
            if stored.get(row) != content:
                self.store.put(*row, content)

    def unregister(self, name: str) -> None:
        """Remove the entry of an upstream."""
        self.record.left.setdefault(name, self.now())
        self.store.remove('servers', name)


@functools.cache
def encode_rule(route: RouteSpec) -> dict[str, Any]:
    """Return a route in its wire form."""
    return {
        'Name': route.name,
        'Kind': route.kind,
        'Match': {'PathPrefix': route.prefix},
        'Action': {
            'Service': route.service,
            'Timeout': f'{route.timeout_s}s',
            'MaxAttempts': route.max_attempts,
        },
        'TargetLatency': '300ms',
    }
