"""Bounds the memory that connections keep."""

import dataclasses

__all__ = (
    'CHUNK_OVERHEAD_RATIO',
    'HEADER_OVERHEAD_BYTES',
    'BufferBudget',
)

#: Memory that a header takes beside its bytes: its objects and their places in
#: list and dictionary.
HEADER_OVERHEAD_BYTES = 400
#: Bytes of chunk framing that are accepted for each byte of a body, since
#: chunks of one byte are valid.
CHUNK_OVERHEAD_RATIO = 8
#: Responses of all connections that are buffered at the same time.
BUFFER_LIMIT_BYTES = 64 << 20


@dataclasses.dataclass(slots=True)
class BufferBudget:
    """Limits the response bytes that all connections buffer together."""

    limit_bytes: int = BUFFER_LIMIT_BYTES
    used_bytes: int = 0

    def try_add(self, size: int) -> bool:
        """Count buffered bytes; return whether the limit allows them."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Count bytes as no longer buffered."""
        self.used_bytes -= size
