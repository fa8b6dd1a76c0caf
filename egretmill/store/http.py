"""HTTP adapter of the platform's interfaces."""

import asyncio
from collections.abc import Collection, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

from egretmill.document.environment import body_digest
from egretmill.errors import ErrorKind, Failure
from egretmill.settings import PlatformSettings
from egretmill.store.ports import Hosts, Put, Row

__all__ = ('StoreClient',)

BodyT = TypeVar('BodyT')
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
ROW_CODES = frozenset((HTTP_OK, HTTP_NOT_FOUND))
WRITE_CODES = frozenset((HTTP_OK, HTTP_CONFLICT))
OK_ONLY = frozenset((HTTP_OK,))
#: Largest body of a row, in bytes: a stored answer of 64 KiB takes 88 KiB
#: in base64, and a row of shares about 200 bytes per slot.
MAX_ROW_BYTES = 262144
#: Largest body of a transaction, in bytes.
MAX_TRANSACTION_BYTES = 2097152
#: Largest object, in bytes: 3.2 million client blocks of 5 bytes, twice.
MAX_OBJECT_BYTES = 33554432


class StoreClient:
    """Calls the platform over HTTP; every call has a deadline.

    Whatever cannot be understood as an answer of the platform counts as an
    outage (``platform_unavailable``), after which a write may have taken
    effect. A row, transaction or object that is too large is refused with
    ``body_too_large`` before it is sent.

    :param source_address: local address of the connections; empty leaves
        the choice to the operating system.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        source_address: str = '',
    ) -> None:
        """Use the platform at a base URL with a deadline per call."""
        self.url = url.rstrip('/')
        self.timeout_s = timeout_s
        self.source_address = source_address or None
        self.reads = 0
        self.writes = 0
        self.client = AsyncHTTPClient(
            force_instance=True,
            max_clients=64,
            max_body_size=MAX_OBJECT_BYTES,
            max_buffer_size=MAX_OBJECT_BYTES,
        )

    @classmethod
    def from_settings(
        cls,
        settings: PlatformSettings,
        source_address: str = '',
    ) -> 'StoreClient':
        """Build from the host settings."""
        return cls(settings.url, settings.timeout_s, source_address)

    async def get_row(self, key: str) -> Result[Row | None, Failure]:
        """Return a row, ``None`` when absent."""
        self.reads += 1
        path = f'/table/{quote(key)}'
        answer = await self.fetch('GET', path, ROW_CODES)
        match answer:
            case Ok(response) if response.code == HTTP_NOT_FOUND:
                return Ok(None)
            case Ok(response):
                return decode_body(response.body, Row).and_then(checked_row)
        return answer

    async def put_row(
        self,
        key: str,
        expected_version: int,
        body: str,
    ) -> Result[Row, Failure]:
        """Write a row if its version is the expected one."""
        written = await self.put_rows([Put(key, expected_version, body)])
        return written.map(lambda _: Row(expected_version + 1, body))

    async def put_rows(self, puts: Sequence[Put]) -> Result[None, Failure]:
        """Write all rows or none."""
        payload = msgspec.json.encode({'puts': puts})
        too_large = oversized(puts, payload)
        if too_large is not None:
            return Err(too_large)
        self.writes += 1
        answer = await self.fetch(
            'POST',
            '/transactions',
            WRITE_CODES,
            payload,
        )
        match answer:
            case Ok(response) if response.code == HTTP_CONFLICT:
                return conflict_of(response.body)
            case Ok():
                return Ok(None)
        return answer

    async def get_object(self, digest: str) -> Result[bytes, Failure]:
        """Return an object of the digest; ``not_found`` when absent."""
        self.reads += 1
        path = f'/objects/{quote(digest)}'
        answer = await self.fetch('GET', path, ROW_CODES)
        match answer:
            case Ok(response) if response.code == HTTP_NOT_FOUND:
                return Err(Failure(ErrorKind.NOT_FOUND, digest))
            case Ok(response):
                return checked_object(response.body, digest)
        return answer

    async def put_object(self, body: bytes) -> Result[str, Failure]:
        """Store an object and return its digest."""
        if len(body) > MAX_OBJECT_BYTES:
            return Err(Failure(ErrorKind.BODY_TOO_LARGE, 'object'))
        self.writes += 1
        digest = body_digest(body)
        path = f'/objects/{quote(digest)}'
        answer = await self.fetch('PUT', path, OK_ONLY, body)
        return answer.map(lambda _: digest)

    async def hosts(self) -> Result[Hosts, Failure]:
        """Return the current host list."""
        self.reads += 1
        answer = await self.fetch('GET', '/hosts', OK_ONLY)
        return answer.and_then(
            lambda response: decode_body(response.body, Hosts),
        )

    async def fetch(
        self,
        method: str,
        path: str,
        codes: Collection[int],
        body: bytes | None = None,
    ) -> Result[HTTPResponse, Failure]:
        """Make one call; a status that is not expected is a failure."""
        call = self.client.fetch(
            self.url + path,
            method=method,
            body=body,
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            network_interface=self.source_address,
            follow_redirects=False,
            raise_error=False,
        )
        try:
            # The client's own limit starts after a wait for a connection.
            async with asyncio.timeout(self.timeout_s):
                response = await call
        except (HTTPError, OSError, ValueError) as error:
            return unavailable(f'{method} {path}: {error!r}')
        if response.code in codes:
            return Ok(response)
        return unavailable(
            f'{method} {path}: {response.code} {response.reason}',
        )


def unavailable(detail: str) -> Err[Failure]:
    """Return the failure of a call without a usable answer."""
    return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))


def oversized(puts: Sequence[Put], payload: bytes) -> Failure | None:
    """Return the failure of a transaction that is too large to send."""
    if len(payload) > MAX_TRANSACTION_BYTES:
        return Failure(ErrorKind.BODY_TOO_LARGE, 'transaction')
    large = [put.key for put in puts if len(put.body) > MAX_ROW_BYTES]
    if large:
        return Failure(ErrorKind.BODY_TOO_LARGE, f'row {large[0]}')
    return None


def checked_row(row: Row) -> Result[Row, Failure]:
    """Refuse a row with a version that no row can have."""
    return Ok(row) if row.version > 0 else unavailable('malformed version')


def checked_object(body: bytes, digest: str) -> Result[bytes, Failure]:
    """Refuse an object that does not have its digest."""
    if body_digest(body) != digest:
        return unavailable(f'damaged object {digest}')
    return Ok(body)


def decode_body(body: bytes, kind: type[BodyT]) -> Result[BodyT, Failure]:
    """Decode a JSON answer; a malformed one counts as an outage."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, RecursionError) as error:
        return unavailable(f'malformed answer: {error}')


def conflict_of(body: bytes) -> Result[None, Failure]:
    """Return the failure that names the keys in conflict."""
    keys = decode_body(body, list[str])
    if isinstance(keys, Err):
        return keys
    detail = ' '.join(keys.ok_value)
    return Err(Failure(ErrorKind.VERSION_CONFLICT, detail))
