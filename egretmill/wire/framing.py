"""Messages of the scalability protocol REQ/REP on a TCP connection."""

import struct

__all__ = (
    'MAX_REQUEST_BYTES',
    'REPLY_GREETING',
    'MalformedFrameError',
    'RequestBuffer',
    'encode_reply',
)

#: Protocol version and role that each side of a connection sends first.
REQUEST_GREETING = b'\0SP\0\0\x30\0\0'
REPLY_GREETING = b'\0SP\0\0\x31\0\0'
#: Longest request: the longest answer that is recorded for an idempotency key,
#: with the names and the key around it.
MAX_REQUEST_BYTES = 128 << 10
LENGTH = struct.Struct('>Q')
#: A request starts with identifiers, which its reply repeats. The last one has
#: its first bit set.
IDENTIFIER_BYTES = 4
LAST_IDENTIFIER_BIT = 0x80
MAX_IDENTIFIERS = 8


class MalformedFrameError(Exception):
    """Received bytes are no request, or one that is too long."""


class RequestBuffer:
    """Received bytes of a connection that are no whole request yet."""

    def __init__(self) -> None:
        """Wait for the greeting."""
        self.received = bytearray()
        self.is_greeted = False

    def __len__(self) -> int:
        """Return the number of kept bytes."""
        return len(self.received)

    @property
    def has_part(self) -> bool:
        """Return whether the rest of a greeting or of a request is due."""
        return bool(self.received) or not self.is_greeted

    def feed(self, content: bytes) -> None:
        """Append received bytes."""
        self.received += content

    def take_request(self) -> tuple[bytes, bytes] | None:
        """Return the identifiers and the message of the next whole request.

        :raises MalformedFrameError: when there can be none.
        """
        if not self.is_greeted and not self._take_greeting():
            return None
        if len(self.received) < LENGTH.size:
            return None
        size = LENGTH.unpack_from(self.received)[0]
        if size > MAX_REQUEST_BYTES:
            raise MalformedFrameError(f'{size} bytes announced')
        end = LENGTH.size + size
        if len(self.received) < end:
            return None
        frame = bytes(self.received[LENGTH.size : end])
        del self.received[:end]
        return _split_identifiers(frame)

    def _take_greeting(self) -> bool:
        size = len(REQUEST_GREETING)
        start = bytes(self.received[:size])
        if start != REQUEST_GREETING[: len(start)]:
            raise MalformedFrameError('not a client of this protocol')
        if len(start) < size:
            return False
        del self.received[:size]
        self.is_greeted = True
        return True


def encode_reply(identifiers: bytes, message: bytes) -> bytes:
    """Return the bytes of a reply."""
    size = len(identifiers) + len(message)
    return LENGTH.pack(size) + identifiers + message


def _split_identifiers(frame: bytes) -> tuple[bytes, bytes]:
    """Divide a frame into its identifiers and its message."""
    starts = range(0, len(frame), IDENTIFIER_BYTES)[:MAX_IDENTIFIERS]
    for start in starts:
        end = start + IDENTIFIER_BYTES
        if frame[start] & LAST_IDENTIFIER_BIT and end <= len(frame):
            return frame[:end], frame[end:]
    raise MalformedFrameError('no identifier')
