"""Datagrams that hosts send each other (msgpack, fields without names)."""

import itertools
import math

import msgspec
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.errors import ErrorKind, Failure
from egretmill.fleet.upstreams import Removal, Upstream

__all__ = (
    'Heartbeat',
    'Datagram',
    'LeavingUpstream',
    'RemovedUpstream',
    'TokenResponse',
    'TokenRequest',
    'UpstreamChanges',
    'decode_datagram',
    'encode_datagram',
)

FractionByAccount = dict[str, float]
#: Memory of a heartbeat that reports nothing about accounts and upstreams ...
HEARTBEAT_BYTES = 2048
#: ... and of each of its reports.
ROW_BYTES = 300


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream has stated about its limit, as a host knows it.

    :param rate_per_s: requests per second from all hosts together; ``None``
        when the upstream has stated no limit any more.
    :param age_s: seconds since the statement.
    :param incarnation: of the upstream.
    """

    rate_per_s: float | None
    age_s: float
    incarnation: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag='beat'):
    """State of a host, sent to one peer; also acknowledges its last heartbeat.

    Ages and boot times are in seconds. New fields go to the end and have
    defaults, so that hosts of two releases understand each other.

    :param entry: address and port where callers connect.
    :param answers: boot time, by the receiver's clock, at which the receiver
        sent the heartbeat that this one acknowledges; 0 when there is none.
    :param knowledge: digest of the configuration and the evacuations.
    :param knowledge_age: seconds since they were confirmed to be current.
    :param roster: digest of the roster.
    :param roster_age: seconds since it was confirmed to be current.
    :param upstreams: digest of the list of upstreams.
    :param upstreams_age: seconds since it was confirmed to be current;
        negative when it never was.
    :param limits: stated limits and their ends, by upstream.
    :param shortages: needed and held fraction of the limit, by client account.
    :param loans: fraction lent to the receiver, by client account.
    :param room: capacity of the host in requests per second.
    :param configuration_version: of the configuration in force, 0 from hosts
        that do not state it.
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
    loans: FractionByAccount = {}
    room: float = 1
    upstreams: int = 0
    upstreams_age: float = -1
    limits: dict[str, LimitReport] = {}
    configuration_version: int = 0

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the heartbeat takes, about."""
        rows = len(self.shortages) + len(self.loans) + len(self.limits)
        return HEARTBEAT_BYTES + rows * ROW_BYTES


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Asks an owner of a client account's limit for one token.

    :param number: identifies the request; the response repeats it.
    """

    host: str
    number: int
    account: str


class TokenResponse(msgspec.Struct, frozen=True, array_like=True, tag='answer'):
    """Grants or denies a requested token.

    :param granted: the owner has taken the token from its own bucket.
    :param wait_s: when the token may be used, or when to ask again.
    """

    number: int
    granted: bool
    wait_s: float


class RemovedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that is no longer registered.

    :param version: store version as of which it is not.
    :param beat: sequence number of its last report.
    """

    name: str
    incarnation: int
    version: int = 0
    beat: int = 0

    @property
    def removal(self) -> Removal:
        """Return what a list of upstreams keeps of it."""
        return Removal(self.incarnation, self.beat, self.version)


class UpstreamChanges(msgspec.Struct, frozen=True, array_like=True, tag='news'):
    """Changes of the upstreams in the store, sent by a designated reader.

    :param version: store version as of which the records hold; a receiver
        that has read this version or a newer one ignores the message. Each
        record has a version of its own, which may be much older.
    """

    host: str
    version: int
    changed: list[Upstream] = []
    gone: list[RemovedUpstream] = []


class LeavingUpstream(msgspec.Struct, frozen=True, array_like=True, tag='left'):
    """An upstream that has said in an answer that it is leaving."""

    name: str
    incarnation: int


Datagram = (
    Heartbeat | TokenRequest | TokenResponse | UpstreamChanges | LeavingUpstream
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return ENCODER.encode(datagram)


def decode_datagram(datagram: bytes) -> Result[Datagram, Failure]:
    """Decode a datagram; a damaged one or an unknown type is an error."""
    try:
        decoded = DECODER.decode(datagram)
    except DECODE_ERRORS as error:
        return Err(Failure(ErrorKind.MALFORMED_FRAME, str(error)))
    if isinstance(decoded, Heartbeat) and _has_nan(decoded):
        return Err(Failure(ErrorKind.MALFORMED_FRAME, 'not a number'))
    return Ok(decoded)


def _has_nan(heartbeat: Heartbeat) -> bool:
    """Return whether a value of a heartbeat is not a number."""
    limits = heartbeat.limits.values()
    return any(
        map(
            math.isnan,
            (
                heartbeat.sent_at,
                heartbeat.answers,
                heartbeat.knowledge_age,
                heartbeat.roster_age,
                heartbeat.upstreams_age,
                heartbeat.room,
                *heartbeat.loans.values(),
                *itertools.chain.from_iterable(heartbeat.shortages.values()),
                *(limit.age_s for limit in limits),
                *(limit.rate_per_s or 0 for limit in limits),
            ),
        )
    )
