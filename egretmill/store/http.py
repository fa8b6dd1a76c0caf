"""HTTP adapter of the platform's interfaces."""

from collections.abc import Sequence
from typing import TypeVar

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


class StoreClient:
    """Calls the platform over HTTP; every call has a deadline."""

    def __init__(self, url: str, timeout_s: float) -> None:
        """Use the platform at a base URL with a deadline per call."""
        self.url = url.rstrip('/')
        self.timeout_s = timeout_s
        self.reads = 0
        self.writes = 0
        self.client = AsyncHTTPClient(force_instance=True, max_clients=64)

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> 'StoreClient':
        """Build from the host settings."""
        return cls(settings.url, settings.timeout_s)

    async def get_row(self, key: str) -> Result[Row | None, Failure]:
        """Return a row, ``None`` when absent."""
        self.reads += 1
        answer = await self.fetch('GET', f'/table/{key}')
        match answer:
            case Ok(response) if response.code == HTTP_NOT_FOUND:
                return Ok(None)
            case Ok(response):
                return decode_body(response.body, Row)
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
        self.writes += 1
        payload = msgspec.json.encode({'puts': puts})
        answer = await self.fetch('POST', '/transactions', payload)
        match answer:
            case Ok(response) if response.code == HTTP_CONFLICT:
                return conflict_of(response.body)
            case Ok():
                return Ok(None)
        return answer

    async def get_object(self, digest: str) -> Result[bytes, Failure]:
        """Return an object; ``not_found`` when absent."""
        self.reads += 1
        answer = await self.fetch('GET', f'/objects/{digest}')
        match answer:
            case Ok(response) if response.code == HTTP_NOT_FOUND:
                return Err(Failure(ErrorKind.NOT_FOUND, digest))
            case Ok(response):
                return Ok(response.body)
        return answer

    async def put_object(self, body: bytes) -> Result[str, Failure]:
        """Store an object and return its digest."""
        self.writes += 1
        digest = body_digest(body)
        answer = await self.fetch('PUT', f'/objects/{digest}', body)
        return answer.map(lambda _: digest)

    async def hosts(self) -> Result[Hosts, Failure]:
        """Return the current host list."""
        self.reads += 1
        answer = await self.fetch('GET', '/hosts')
        return answer.and_then(
            lambda response: decode_body(response.body, Hosts),
        )

    async def fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> Result[HTTPResponse, Failure]:
        """Make one call; statuses other than 200, 404, 409 are failures."""
        try:
            response = await self.client.fetch(
                self.url + path,
                method=method,
                body=body,
                connect_timeout=self.timeout_s,
                request_timeout=self.timeout_s,
                raise_error=False,
            )
        except (HTTPError, OSError) as error:
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, str(error)))
        if response.code in {HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT}:
            return Ok(response)
        detail = f'{method} {path}: {response.code} {response.reason}'
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))


def decode_body(body: bytes, kind: type[BodyT]) -> Result[BodyT, Failure]:
    """Decode a JSON answer; a malformed one counts as an outage."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as error:
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, str(error)))


def conflict_of(body: bytes) -> Result[None, Failure]:
    """Return the failure that names the keys in conflict."""
    keys = decode_body(body, list[str])
    if isinstance(keys, Err):
        return keys
    detail = ' '.join(keys.ok_value)
    return Err(Failure(ErrorKind.VERSION_CONFLICT, detail))
