"""HTTP client of the platform: table service, object store and host list."""

import asyncio
from collections.abc import Collection, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

from egretmill.decoding import DECODE_ERRORS
from egretmill.document.environment import body_digest
from egretmill.errors import ErrorKind, Failure
from egretmill.settings import PlatformSettings
from egretmill.store.ports import Hosts, Put, Row

__all__ = ('StoreClient',)

BodyT = TypeVar('BodyT')
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
READ_STATUSES = frozenset((HTTP_OK, HTTP_NOT_FOUND))
WRITE_STATUSES = frozenset((HTTP_OK, HTTP_CONFLICT))
OK_STATUSES = frozenset((HTTP_OK,))
#: Largest body of a row, in bytes: a stored answer of 64 KiB takes 88 KiB
#: in base64, and a row of share slots about 200 bytes per slot.
MAX_ROW_BYTES = 262144
#: Largest body of a transaction, in bytes.
MAX_TRANSACTION_BYTES = 2097152
#: Largest object, in bytes: twice the size of 3.2 million client blocks of
#: 5 bytes.
MAX_OBJECT_BYTES = 33554432


class StoreClient:
    """Calls the platform over HTTP; every call has a deadline.

    A missing or malformed answer counts as an outage
    (``platform_unavailable``), after which a write may have taken effect. A
    row, transaction or object that is too large fails with
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
        """Create a client for a base URL with a deadline per call."""
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
        """Create a client from the host settings."""
        return cls(settings.url, settings.timeout_s, source_address)

    async def get_row(self, key: str) -> Result[Row | None, Failure]:
        """Return a row, ``None`` when absent."""
        self.reads += 1
        path = f'/table/{quote(key)}'
        answer = await self.send_request('GET', path, READ_STATUSES)
        match answer:
            case Ok(response) if response.code == HTTP_NOT_FOUND:
                return Ok(None)
            case Ok(response):
                return decode_body(response.body, Row).and_then(validate_row)
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
        """Write all rows or none, in one transaction."""
        payload = msgspec.json.encode({'puts': puts})
        size_failure = check_sizes(puts, payload)
        if size_failure is not None:
            return Err(size_failure)
        self.writes += 1
        answer = await self.send_request(
            'POST',
            '/transactions',
            WRITE_STATUSES,
            payload,
        )
        match answer:
            case Ok(response) if response.code == HTTP_CONFLICT:
                return decode_conflict(response.body)
            case Ok():
                return Ok(None)
        return answer

    async def get_object(self, digest: str) -> Result[bytes, Failure]:
        """Return the object with a digest; ``not_found`` when absent."""
        self.reads += 1
        path = f'/objects/{quote(digest)}'
        answer = await self.send_request('GET', path, READ_STATUSES)
        match answer:
            case Ok(response) if response.code == HTTP_NOT_FOUND:
                return Err(Failure(ErrorKind.NOT_FOUND, digest))
            case Ok(response):
                return verify_object(response.body, digest)
        return answer

    async def put_object(self, body: bytes) -> Result[str, Failure]:
        """Store an object and return its digest."""
        if len(body) > MAX_OBJECT_BYTES:
            return Err(Failure(ErrorKind.BODY_TOO_LARGE, 'object'))
        self.writes += 1
        digest = body_digest(body)
        path = f'/objects/{quote(digest)}'
        answer = await self.send_request('PUT', path, OK_STATUSES, body)
        return answer.map(lambda _: digest)

    async def hosts(self) -> Result[Hosts, Failure]:
        """Return the current host list."""
        self.reads += 1
        answer = await self.send_request('GET', '/hosts', OK_STATUSES)
        return answer.and_then(
            lambda response: decode_body(response.body, Hosts),
        )

    async def send_request(
        self,
        method: str,
        path: str,
        expected_statuses: Collection[int],
        body: bytes | None = None,
    ) -> Result[HTTPResponse, Failure]:
        """Send one request; an unexpected status is a failure."""
        pending_response = self.client.fetch(
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
            # The timeout of the HTTP client does not cover its wait for a
            # free connection.
            async with asyncio.timeout(self.timeout_s):
                response = await pending_response
        except (HTTPError, OSError, ValueError) as error:
            return unavailable(f'{method} {path}: {error!r}')
        if response.code in expected_statuses:
            return Ok(response)
        return unavailable(
            f'{method} {path}: {response.code} {response.reason}',
        )


def unavailable(detail: str) -> Err[Failure]:
    """Return the failure of a call without a usable answer."""
    return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))


def check_sizes(puts: Sequence[Put], payload: bytes) -> Failure | None:
    """Return the failure of a too large transaction, ``None`` otherwise."""
    if len(payload) > MAX_TRANSACTION_BYTES:
        return Failure(ErrorKind.BODY_TOO_LARGE, 'transaction')
    large_keys = [put.key for put in puts if len(put.body) > MAX_ROW_BYTES]
    if large_keys:
        return Failure(ErrorKind.BODY_TOO_LARGE, f'row {large_keys[0]}')
    return None


def validate_row(row: Row) -> Result[Row, Failure]:
    """Reject a row whose version is not positive."""
    return Ok(row) if row.version > 0 else unavailable('malformed version')


def verify_object(body: bytes, digest: str) -> Result[bytes, Failure]:
    """Reject an object that does not match its digest."""
    if body_digest(body) != digest:
        return unavailable(f'damaged object {digest}')
    return Ok(body)


def decode_body(body: bytes, kind: type[BodyT]) -> Result[BodyT, Failure]:
    """Decode a JSON answer; a malformed one counts as an outage."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except DECODE_ERRORS as error:
        return unavailable(f'malformed answer: {error}')


def decode_conflict(body: bytes) -> Result[None, Failure]:
    """Return the failure that lists the keys in conflict."""
    keys = decode_body(body, list[str])
    if isinstance(keys, Err):
        return keys
    detail = ' '.join(keys.ok_value)
    return Err(Failure(ErrorKind.VERSION_CONFLICT, detail))
