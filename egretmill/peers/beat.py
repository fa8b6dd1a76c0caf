"""Datagrams that hosts send each other (msgpack, fields without names)."""

import msgspec
from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.fleet.upstreams import Upstream

__all__ = (
    'Beat',
    'Datagram',
    'Gone',
    'TokenAnswer',
    'TokenAsk',
    'UpstreamNews',
    'decode_datagram',
    'encode_datagram',
)

Fractions = dict[str, float]


class Beat(msgspec.Struct, frozen=True, array_like=True, tag='beat'):
    """State of a host, with answers to the receiver's last beat.

    Ages and boot times are in seconds. New fields go to the end and have
    defaults, so that hosts of two releases understand each other.

    :param entry: address and port where callers connect.
    :param answers: boot time at which the receiver sent the beat that this
        one answers, by the receiver's clock; 0 when there is none.
    :param knowledge: digest of the configuration and the evacuations.
    :param knowledge_age: age of the proof that it was current.
    :param roster: digest of the roster, with the age of its proof.
    :param upstreams: digest of the list of upstreams, with the age of its
        proof; a negative age proves nothing.
    :param shortages: need and held fraction, by client account.
    :param loans: what the receiver may use, by client account.
    :param room: requests per second that the host bears.
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
    upstreams: int = 0
    upstreams_age: float = -1


class TokenAsk(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Asks an owner for a token of a client account.

    :param number: names the question in its answer.
    """

    host: str
    number: int
    account: str


class TokenAnswer(msgspec.Struct, frozen=True, array_like=True, tag='answer'):
    """Answers a question for a token.

    :param granted: the owner has taken a token from its part.
    :param wait_s: when the token may be used, or when to ask again.
    """

    number: int
    granted: bool
    wait_s: float


class Gone(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that is not registered any more."""

    name: str
    incarnation: int


class UpstreamNews(msgspec.Struct, frozen=True, array_like=True, tag='news'):
    """Upstreams that have changed in the store, from a host on duty.

    :param version: of the store, as of which the records hold; a receiver
        that has read a newer one knows better.
    """

    host: str
    version: int
    changed: list[Upstream] = []
    gone: list[Gone] = []


Datagram = Beat | TokenAsk | TokenAnswer | UpstreamNews
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return ENCODER.encode(datagram)


def decode_datagram(datagram: bytes) -> Result[Datagram, Failure]:
    """Read a datagram; one that is damaged or foreign is an error."""
    try:
        return Ok(DECODER.decode(datagram))
    except msgspec.MsgspecError as error:
        return Err(Failure(ErrorKind.MALFORMED_FRAME, str(error)))
