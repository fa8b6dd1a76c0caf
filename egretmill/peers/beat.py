"""The datagram that hosts send each other (msgpack, fields without names)."""

import msgspec
from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure

__all__ = ('Beat', 'decode_beat', 'encode_beat')

Fractions = dict[str, float]


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """State of a host, with answers to the receiver's last beat.

    Ages and boot times are in seconds. New fields go to the end and have
    defaults, so that hosts of two releases understand each other.

    :param entry: address and port where callers connect.
    :param answers: boot time at which the receiver sent the beat that this
        one answers, by the receiver's clock; 0 when there is none.
    :param knowledge: digest of the configuration and the evacuations.
    :param knowledge_age: age of the proof that it was current.
    :param roster: digest of the roster, with the age of its proof.
    :param shortages: need and held fraction, by client account.
    :param loans: what the receiver may use, by client account.
    """

    host: str
    incarnation: int
    entry: str
    failure_domain: str
    region: str
    ready: bool
    sent_at: float
    answers: float
    knowledge: int
    knowledge_age: float
    roster: int
    roster_age: float
    shortages: dict[str, tuple[float, float]] = {}
    loans: Fractions = {}
    room: float = 1


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Beat)


def encode_beat(beat: Beat) -> bytes:
    """Return the bytes of a beat."""
    return ENCODER.encode(beat)


def decode_beat(datagram: bytes) -> Result[Beat, Failure]:
    """Read a datagram; one that is damaged or foreign is an error."""
    try:
        return Ok(DECODER.decode(datagram))
    except msgspec.MsgspecError as error:
        return Err(Failure(ErrorKind.MALFORMED_FRAME, str(error)))
