"""Interfaces of the platform: table service, object store and host list."""

from collections.abc import Sequence
from typing import Protocol

import msgspec
from result import Result

from egretmill.errors import Failure
from egretmill.wire.messages import HostRecord, UpstreamRecord

__all__ = (
    'HostListSource',
    'Hosts',
    'ObjectStore',
    'Put',
    'Row',
    'TableService',
)


class Row(msgspec.Struct, frozen=True):
    """A row of the table service; versions start at 1."""

    version: int
    body: str


class Put(msgspec.Struct, frozen=True):
    """A conditional write of a row.

    ``expected_version`` 0 means that the row must not exist.
    """

    key: str
    expected_version: int
    body: str


class Hosts(msgspec.Struct, frozen=True):
    """The platform's host list, which may be stale."""

    entry_hosts: tuple[HostRecord, ...] = ()
    upstreams: tuple[UpstreamRecord, ...] = ()


class TableService(Protocol):
    """Versioned rows with compare-and-set writes.

    Failures: ``platform_unavailable`` (a write may have taken effect) and
    ``version_conflict`` (nothing was written).
    """

    async def get_row(self, key: str) -> Result[Row | None, Failure]:
        """Return a row, ``None`` when absent."""

    async def put_row(
        self,
        key: str,
        expected_version: int,
        body: str,
    ) -> Result[Row, Failure]:
        """Write a row if its version is the expected one."""

    async def put_rows(self, puts: Sequence[Put]) -> Result[None, Failure]:
        """Write all rows or none, in one transaction.

        The detail of ``version_conflict`` lists the keys in conflict,
        separated by spaces.
        """


class ObjectStore(Protocol):
    """Immutable objects, addressed by their digest."""

    async def get_object(self, digest: str) -> Result[bytes, Failure]:
        """Return an object; ``not_found`` when absent."""

    async def put_object(self, body: bytes) -> Result[str, Failure]:
        """Store an object and return its digest."""


class HostListSource(Protocol):
    """Source of the list of live and leaving hosts."""

    async def hosts(self) -> Result[Hosts, Failure]:
        """Return the current host list, which may be stale."""
