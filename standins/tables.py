"""Stand-in for the platform's table store, with a change feed and faults."""

import asyncio
import base64
import dataclasses
import json
from collections.abc import Callable

from tornado import web

__all__ = ('SavedTables', 'TableFaults', 'TableServer', 'make_application')

MAX_PAGE_ROWS = 500
HTTP_FORBIDDEN = 403
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
READ_ONLY_TABLES = frozenset(('op', 'servers'))
FEED_POLL_S = 0.005
#: Returns the content that one caller sees, from table, key and content.
ShowRow = Callable[[str, str, bytes], bytes]


@dataclasses.dataclass
class TableFaults:
    """Faults that the store simulates.

    :param status: status of all answers; calls take no effect.
    :param silent: calls get no answer and take no effect.
    :param lose_answers: number of next writes that take effect without an
        answer.
    :param lost_write_delay_s: delay before such a write takes effect.
    :param malformed: answers are not JSON.
    """

    status: int = 0
    silent: bool = False
    lose_answers: int = 0
    lost_write_delay_s: float = 0
    malformed: bool = False


@dataclasses.dataclass(frozen=True)
class SavedTables:
    """A copy of the store, from which it can come back."""

    rows: dict[tuple[str, str], tuple[bytes, int]]
    changes: list[tuple[int, str, str, bytes | None]]
    version: int


class TableServer:
    """Rows of all tables and the history of their changes, in memory.

    The history holds the changes after ``compacted_version``.

    :param era: rises with each return from an older copy; 0 for a store that
        states none.
    """

    def __init__(self, era: int = 0) -> None:
        """Start empty."""
        self.era = era
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.compacted_version = 0
        self.faults = TableFaults()
        self.calls: list[str] = []

    def put(self, table: str, key: str, content: bytes) -> int:
        """Write a row; return its version."""
        self.version += 1
        self.rows[table, key] = (content, self.version)
        self.changes.append((self.version, table, key, content))
        return self.version

    def remove(self, table: str, key: str) -> int:
        """Remove a row; return the version of the removal."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.changes.append((self.version, table, key, None))
        return self.version

    def compact_history(self) -> None:
        """Drop the history; feeds after an older version get 410."""
        self.changes.clear()
        self.compacted_version = self.version

    def save(self) -> SavedTables:
        """Return a copy to come back from."""
        return SavedTables(dict(self.rows), list(self.changes), self.version)

    def restore(self, saved: SavedTables) -> None:
        """Come back from a copy; what was written since is lost."""
        self.rows = dict(saved.rows)
        self.changes = list(saved.changes)
        self.version = saved.version
        self.compacted_version = min(self.compacted_version, saved.version)
        self.era += 1

    def version_of(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
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
    """Base class of the handlers; applies the faults."""

    def initialize(self, server: TableServer, show: ShowRow) -> None:
        """Serve the rows of a server as one caller sees them."""
        self.server = server
        self.show = show

    async def prepare(self) -> None:
        """Record the call and apply the faults to it."""
        if self.server.era:
            self.set_header('Store-Era', str(self.server.era))
        name = self.request.path.rpartition('/')[2]
        self.server.calls.append(name)
        if self.server.faults.silent:
            await asyncio.sleep(60)
        if self.server.faults.status:
            self.set_status(self.server.faults.status)
            self.finish()

    def answer(self, **fields: object) -> None:
        """Answer with fields and the newest version."""
        if self.server.faults.malformed:
            self.finish('no json')
            return
        self.finish({'Ver': self.server.version, 'Now': '5s', **fields})

    def encode_for_caller(
        self,
        table: str,
        key: str,
        content: bytes | None,
        version: int,
    ) -> dict:
        """Return a row as the caller sees it."""
        rewritten = content and self.show(table, key, content)
        return encode_row(table, key, rewritten, version)

    def on_finish(self) -> None:
        """Write no access log."""


class GetHandler(TableHandler):
    """``rows-get``: a page of a table."""

    def get(self) -> None:
        """Answer with the first rows of a range."""
        table = self.get_query_argument('Table')
        start = self.get_query_argument('From', '')
        limit = int(self.get_query_argument('Limit', str(MAX_PAGE_ROWS)))
        keys = sorted(
            key
            for name, key in self.server.rows
            if name == table and key >= start
        )
        rows = [
            self.encode_for_caller(table, key, *self.server.rows[table, key])
            for key in keys[:limit]
        ]
        self.answer(Rows=rows, HasMore=len(keys) > limit)


class FeedHandler(TableHandler):
    """``rows-feed``: changes after a version."""

    async def get(self) -> None:
        """Answer with the changes, or wait for one up to ``WaitMs``."""
        table = self.get_query_argument('Table')
        after_version = int(self.get_query_argument('after'))
        wait_s = int(self.get_query_argument('WaitMs', '0')) / 1000
        is_known = after_version <= self.server.version
        if after_version < self.server.compacted_version or not is_known:
            self.set_status(HTTP_GONE)
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        rows = self.find_changes(table, after_version)
        while not rows and loop.time() < deadline:
            await asyncio.sleep(FEED_POLL_S)
            rows = self.find_changes(table, after_version)
        self.answer(Rows=rows)

    def find_changes(self, table: str, after_version: int) -> list[dict]:
        """Return the changes of a table after a version."""
        return [
            self.encode_for_caller(name, key, content, version)
            for version, name, key, content in self.server.changes
            if version > after_version and name == table
        ]


class TransactionHandler(TableHandler):
    """``rows-tx``: all writes or none."""

    async def post(self) -> None:
        """Apply a transaction, or answer 412 if a condition fails."""
        body = json.loads(self.request.body)
        written_rows = [*body.get('Puts', []), *body.get('Remove', [])]
        if any(row['Table'] in READ_ONLY_TABLES for row in written_rows):
            self.set_status(HTTP_FORBIDDEN)
            return
        faults = self.server.faults
        if faults.lose_answers:
            faults.lose_answers -= 1
            await asyncio.sleep(faults.lost_write_delay_s)
            self.server.apply(body)
            self.request.connection.stream.close()
            return
        if not self.server.apply(body):
            self.set_status(HTTP_PRECONDITION_FAILED)
        self.answer()


def encode_row(
    table: str,
    key: str,
    content: bytes | None,
    version: int,
) -> dict:
    """Return a row in its wire form; without content, its removal."""
    row = {'Table': table, 'part': '', 'Key': key, 'Ver': version}
    if content is None:
        return {**row, 'Removed': True}
    return {**row, 'Value': base64.b64encode(content).decode()}


def show_unchanged(table: str, key: str, content: bytes) -> bytes:
    """Return the content of a row as it is."""
    return content


def make_application(
    server: TableServer,
    show: ShowRow = show_unchanged,
) -> web.Application:
    """Return the tornado application of the store for one caller."""
    handler_arguments = {'server': server, 'show': show}
    return web.Application(
        [
            ('/egretmill/rows-get', GetHandler, handler_arguments),
            ('/egretmill/rows-feed', FeedHandler, handler_arguments),
            ('/egretmill/rows-tx', TransactionHandler, handler_arguments),
        ],
        log_function=lambda handler: None,
    )
