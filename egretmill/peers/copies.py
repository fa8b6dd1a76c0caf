"""A table as one host passes it on to another (msgpack over HTTP)."""

import msgspec
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.tables.ports import Snapshot, StoredRow

__all__ = ('TableCopy', 'decode_copy', 'encode_copy')


class CopiedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row as stored, with the version of its last change."""

    key: str
    content: bytes
    version: int


class TableCopy(msgspec.Struct, frozen=True, array_like=True):
    """The rows of a table, as a host knows them.

    New fields go to the end and have defaults, so that hosts of two releases
    understand each other.

    :param version: store version as of which the rows hold.
    :param age_s: seconds since they were confirmed to be current.
    """

    version: int
    age_s: float
    rows: list[CopiedRow] = []

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot, age_s: float) -> 'TableCopy':
        """Return the copy to pass on."""
        rows = [
            CopiedRow(row.key, row.content, row.version)
            for row in snapshot.rows
        ]
        return cls(snapshot.version, age_s, rows)

    def to_snapshot(self) -> Snapshot:
        """Return the rows in the form in which the store returns them."""
        rows = tuple(
            StoredRow(row.key, row.content, row.version) for row in self.rows
        )
        return Snapshot(rows, self.version)


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(TableCopy)


def encode_copy(copy: TableCopy) -> bytes:
    """Encode a copy."""
    return ENCODER.encode(copy)


def decode_copy(body: bytes) -> Result[TableCopy, str]:
    """Decode a copy; a damaged one is an error."""
    try:
        return Ok(DECODER.decode(body))
    except DECODE_ERRORS as error:
        return Err(str(error))
