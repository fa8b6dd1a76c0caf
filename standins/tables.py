"""Stand-in for the platform's store of tables, with its feed and faults."""

import asyncio
import base64
import dataclasses
import json
from collections.abc import Callable

from tornado import web

__all__ = ('TableFaults', 'TableServer', 'make_application')

PAGE_ROWS = 500
HTTP_FORBIDDEN = 403
HTTP_GONE = 410
HTTP_CONFLICT = 412
READ_ONLY = frozenset(('op', 'servers'))
POLL_S = 0.005
#: Turns table, key and content of a row into what one caller is shown.
Show = Callable[[str, str, bytes], bytes]


@dataclasses.dataclass
class TableFaults:
    """Switches of the store.

    :param status: every call gets this status, nothing is done.
    :param silent: calls get no answer and do nothing.
    :param lose_answers: that many writes are done and not answered.
    :param late_s: a lost write is done this much later.
    :param malformed: answers are no JSON.
    """

    status: int = 0
    silent: bool = False
    lose_answers: int = 0
    late_s: float = 0
    malformed: bool = False


class TableServer:
    """Rows of all tables in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.forgotten = 0
        self.faults = TableFaults()
        self.calls: list[str] = []

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row."""
        self.version += 1
        self.rows[table, key] = (content, self.version)
        self.changes.append((self.version, table, key, content))
        return self.version

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.changes.append((self.version, table, key, None))
        return self.version

    def forget(self) -> None:
        """Drop the history of changes."""
        self.changes.clear()
        self.forgotten = self.version

    def version_of(self, table: str, key: str) -> int:
        """Return the version of a row, 0 when it does not exist."""
        return self.rows.get((table, key), (b'', 0))[1]

    def apply(self, body: dict) -> bool:
        """Apply a transaction; return whether its conditions hold."""
        for row in body.get('Expected', []):
            if self.version_of(row['Table'], row['Key']) != row['Ver']:
                return False
        for row in body.get('Puts', []):
            content = base64.b64decode(row['Value'])
            self.put(row['Table'], row['Key'], content)
        for row in body.get('Remove', []):
            self.remove(row['Table'], row['Key'])
        return True


class TableHandler(web.RequestHandler):
    """Base of the calls; applies the faults."""

    def initialize(self, server: TableServer, show: Show) -> None:
        """Answer from a server."""
        self.server = server
        self.show = show

    async def prepare(self) -> None:
        """Fail as the faults say."""
        name = self.request.path.rpartition('/')[2]
        self.server.calls.append(name)
        if self.server.faults.silent:
            await asyncio.sleep(60)
        if self.server.faults.status:
            self.set_status(self.server.faults.status)
            self.finish()

    def answer(self, **fields: object) -> None:
        """Answer with the newest version."""
        if self.server.faults.malformed:
            self.finish('no json')
            return
        self.finish({'Ver': self.server.version, 'Now': '5s', **fields})

    def encode(
        self,
        table: str,
        key: str,
        content: bytes | None,
        version: int,
    ) -> dict:
        """Return a row as the caller is shown it."""
        shown = content and self.show(table, key, content)
        return encode_row(table, key, shown, version)

    def on_finish(self) -> None:
        """Leave the log to the tests."""


class Get(TableHandler):
    """``rows-get``: a page of a table."""

    def get(self) -> None:
        """Answer the rows of a range."""
        table = self.get_query_argument('Table')
        start = self.get_query_argument('From', '')
        limit = int(self.get_query_argument('Limit', str(PAGE_ROWS)))
        keys = sorted(
            key
            for name, key in self.server.rows
            if name == table and key >= start
        )
        rows = [
            self.encode(table, key, *self.server.rows[table, key])
            for key in keys[:limit]
        ]
        self.answer(Rows=rows, HasMore=len(keys) > limit)


class Feed(TableHandler):
    """``rows-feed``: changes after a version."""

    async def get(self) -> None:
        """Wait for a change and answer."""
        table = self.get_query_argument('Table')
        after = int(self.get_query_argument('after'))
        wait_s = int(self.get_query_argument('WaitMs', '0')) / 1000
        if after < self.server.forgotten:
            self.set_status(HTTP_GONE)
            return
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        rows = self.changed(table, after)
        while not rows and loop.time() < ends_at:
            await asyncio.sleep(POLL_S)
            rows = self.changed(table, after)
        self.answer(Rows=rows)

    def changed(self, table: str, after: int) -> list[dict]:
        """Return the changed rows of a table."""
        return [
            self.encode(name, key, content, version)
            for version, name, key, content in self.server.changes
            if version > after and name == table
        ]


class Transact(TableHandler):
    """``rows-tx``: all entries or none."""

    async def post(self) -> None:
        """Apply a transaction."""
        body = json.loads(self.request.body)
        written = [*body.get('Puts', []), *body.get('Remove', [])]
        if any(row['Table'] in READ_ONLY for row in written):
            self.set_status(HTTP_FORBIDDEN)
            return
        faults = self.server.faults
        if faults.lose_answers:
            faults.lose_answers -= 1
            await asyncio.sleep(faults.late_s)
            self.server.apply(body)
            self.request.connection.stream.close()
            return
        if not self.server.apply(body):
            self.set_status(HTTP_CONFLICT)
        self.answer()


def encode_row(
    table: str,
    key: str,
    content: bytes | None,
    version: int,
) -> dict:
    """Return a row as the store sends it."""
    row = {'Table': table, 'part': '', 'Key': key, 'Ver': version}
    if content is None:
        return {**row, 'Removed': True}
    return {**row, 'Value': base64.b64encode(content).decode()}


def show_all(table: str, key: str, content: bytes) -> bytes:
    """Show rows as they are."""
    return content


def make_application(
    server: TableServer,
    show: Show = show_all,
) -> web.Application:
    """Return the calls of the store as one caller sees it."""
    told = {'server': server, 'show': show}
    return web.Application(
        [
            ('/egretmill/rows-get', Get, told),
            ('/egretmill/rows-feed', Feed, told),
            ('/egretmill/rows-tx', Transact, told),
        ],
        log_function=lambda handler: None,
    )
