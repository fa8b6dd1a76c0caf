"""Interfaces of the platform that the system depends on."""

from collections.abc import Sequence
from typing import Protocol

import msgspec
from result import Result

from egretmill.errors import Failure
from egretmill.wire.messages import HostRecord, UpstreamRecord

__all__ = ('HostList', 'Hosts', 'ObjectStore', 'Put', 'Row', 'TableService')


class Row(msgspec.Struct, frozen=True):
    """A row of the table service; versions start at 1."""

    version: int
    body: str


class Put(msgspec.Struct, frozen=True):
    """A conditional write; expected version 0 means that no row exists."""

    key: str
    expected_version: int
    body: str


class Hosts(msgspec.Struct, frozen=True):
    """The host list; it lags behind what is true."""

    entry_hosts: tuple[HostRecord, ...] = ()
    upstreams: tuple[UpstreamRecord, ...] = ()


class TableService(Protocol):
    """Rows with versions.

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
        """Write all rows or none.

        The detail of ``version_conflict`` lists the keys that conflicted,
        separated by blanks.
        """


class ObjectStore(Protocol):
    """Immutable objects by digest."""

    async def get_object(self, digest: str) -> Result[bytes, Failure]:
        """Return an object; ``not_found`` when absent."""

    async def put_object(self, body: bytes) -> Result[str, Failure]:
        """Store an object and return its digest."""


class HostList(Protocol):
    """The list of live and leaving hosts."""

    async def hosts(self) -> Result[Hosts, Failure]:
        """Return the current list."""
