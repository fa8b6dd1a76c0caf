"""Messages between the programs of the system (msgpack, tagged).

Times are seconds. A field that ends in ``_at`` is a reading of the
monotonic clock and is only sent between programs of one machine; messages
between machines carry ages and durations.
"""

from typing import Literal

import msgspec

__all__ = (
    'Acknowledged',
    'BlocksBody',
    'Borrow',
    'Claim',
    'ClaimDecision',
    'DocumentBody',
    'ErrorReply',
    'Explain',
    'Explained',
    'FetchBlocks',
    'FetchDocument',
    'FetchHosts',
    'Heartbeat',
    'HostRecord',
    'HostState',
    'KnownHosts',
    'Loan',
    'Loans',
    'Message',
    'PeerState',
    'PullState',
    'RecordAnswer',
    'Request',
    'ShareSlot',
    'StoredAnswer',
    'UpstreamRecord',
    'decode',
    'encode',
)


class Record(msgspec.Struct, frozen=True):
    """Base of parts of messages."""


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of messages; the tag is the class name.

    Fields are sent without names, which makes a heartbeat 54 instead of
    149 bytes. New fields go to the end and have defaults, so that programs
    of two releases understand each other.
    """


class HostRecord(Record):
    """An entry host of the platform's host list."""

    name: str
    failure_domain: str
    address: str
    entry_port: int
    steer_port: int
    agent_port: int
    entry_peer_port: int
    state: Literal['live', 'leaving'] = 'live'


class UpstreamRecord(Record):
    """An upstream of the platform's host list."""

    name: str
    service: str
    site: str
    address: str
    port: int
    slots: int
    max_connections: int
    state: Literal['live', 'leaving'] = 'live'


class ShareSlot(Record):
    """The share slot that this host holds.

    ``index`` counts over the whole fleet in the order of the document.
    """

    index: int
    total: int
    lease_until_at: float
    acquired_at: float


class PeerState(Record):
    """What the local agent knows of an entry host.

    ``confirmation_age_s`` is the age of the host's last confirmation of
    its version, ``None`` when it has none or is not known.
    """

    host: HostRecord
    incarnation: int
    version: int
    reachable: bool
    leaving: bool
    entry_ready: bool
    slot_index: int | None = None
    entry_incarnation: int = 0
    confirmation_age_s: float | None = None


class PullState(Message):
    """A local program reports itself and asks for the host's state."""

    program: Literal['entry', 'steer']
    incarnation: int
    known_version: int
    ready: bool = True
    leaving: bool = False
    known_upstreams: str = ''


class HostState(Message):
    """Answer to :class:`PullState`.

    ``document`` is empty when the asker already has ``version``, and
    ``upstreams`` is ``None`` when it has those of ``upstreams_digest``.
    Before ``slot_known`` a missing slot says nothing: the agent has
    restarted, and an entry program keeps the slot that it has.
    ``confirmed_at`` is the monotonic time at which ``version`` was last
    confirmed as the newest. ``settled_version`` is the lowest version that
    any holder of a share slot may still apply.
    """

    host: str
    version: int
    document: bytes
    confirmed_at: float
    settled_version: int
    slot: ShareSlot | None
    peers: tuple[PeerState, ...]
    upstreams: tuple[UpstreamRecord, ...] | None
    upstreams_digest: str = ''
    blocks_digest: str = ''
    slot_known: bool = True


class StoredAnswer(Record):
    """The recorded answer of an idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(Message):
    """An entry asks to own an idempotency key before it sends work.

    ``incarnation`` is that of the entry program; 0 does not say.
    """

    account: str
    idempotency_key: str
    request_digest: str
    attempt_id: str
    timeout_s: float
    incarnation: int = 0


class ClaimDecision(Message):
    """Answer to :class:`Claim`; ``answer`` belongs to ``repeat``.

    ``granted``: run it. ``repeat``: done before, with its answer.
    ``not_stored``: done before, the answer was too large to keep.
    ``in_progress``: a live owner runs it. ``owner_lost``: may have run.
    ``mismatch``: other account or body. ``unavailable``: the platform did
    not decide and no claim was made that the caller could rely on.
    """

    status: Literal[
        'granted',
        'repeat',
        'not_stored',
        'in_progress',
        'owner_lost',
        'mismatch',
        'unavailable',
    ]
    answer: StoredAnswer | None = None


class RecordAnswer(Message):
    """An entry records how a claimed request ended.

    ``released`` says that no byte was sent, so the claim may be made again.
    """

    account: str
    idempotency_key: str
    attempt_id: str
    state: Literal['done', 'unknown', 'released']
    answer: StoredAnswer | None = None


class Acknowledged(Message):
    """The message was carried out."""


class ErrorReply(Message):
    """The message was not carried out; ``kind`` is an ``ErrorKind``."""

    kind: str
    detail: str = ''


class Heartbeat(Message):
    """State of one host, sent to each peer; the answer is of this type.

    ``confirmation_age_s`` is the age of the last confirmation that
    ``version`` is the newest; ``platform_age_s`` the age of the last
    platform answer that this host itself received.
    """

    host: str
    incarnation: int
    version: int
    confirmation_age_s: float
    platform_age_s: float
    leaving: bool
    entry_ready: bool
    slot_index: int | None = None
    entry_incarnation: int = 0


class FetchDocument(Message):
    """Ask a peer for the document of at least ``version``."""

    version: int


class FetchHosts(Message):
    """Ask a peer for the host list while the platform does not answer."""


class KnownHosts(Message):
    """The last host list that a host has read."""

    entry_hosts: tuple[HostRecord, ...]
    upstreams: tuple[UpstreamRecord, ...]


class DocumentBody(Message):
    """The newest document that a host has."""

    version: int
    digest: str
    body: bytes


class FetchBlocks(Message):
    """Steer asks for the client blocks of a digest, part by part.

    ``base`` is the digest of the table that the asker has; the answer may
    be a delta from it.
    """

    digest: str
    base: str = ''
    offset: int = 0


class BlocksBody(Message):
    """Bytes of a blocks file or a delta from an offset on.

    A part is small enough for one frame; ``size`` is that of all parts.
    """

    digest: str
    kind: Literal['table', 'delta']
    offset: int
    size: int
    part: bytes


class Borrow(Message):
    """An entry asks a peer for a part of its share of one total.

    ``amount`` is a rate per second for rate totals and a number of slots
    for concurrency totals. ``renews`` names a loan that is extended with
    these values; with ``duration_s`` 0 it is given back with ``tokens``.
    ``borrow_id`` identifies the question and is repeated in the answer.
    """

    borrower: str
    incarnation: int
    total: str
    version: int
    amount: float
    tokens: float
    duration_s: float
    renews: str = ''
    borrow_id: str = ''


class Loan(Message):
    """A part of the lender's share, for ``duration_s`` from the request.

    ``capacity`` and ``tokens`` belong to rate totals; for concurrency
    totals ``amount`` is the number of slots.
    """

    loan_id: str
    total: str
    amount: float
    capacity: float
    tokens: float
    duration_s: float


class Loans(Message):
    """Answer to :class:`Borrow`; empty when nothing can be spared."""

    loans: tuple[Loan, ...] = ()
    borrow_id: str = ''


class Explain(Message):
    """An operator asks how a request would be decided."""

    method: str
    path: str
    key_digest: str = ''


class Explained(Message):
    """The decision step by step, one line each."""

    lines: tuple[str, ...]


Request = (
    PullState
    | Claim
    | RecordAnswer
    | Heartbeat
    | FetchDocument
    | FetchHosts
    | FetchBlocks
    | Borrow
    | Explain
)
Reply = (
    HostState
    | ClaimDecision
    | Acknowledged
    | ErrorReply
    | Heartbeat
    | DocumentBody
    | KnownHosts
    | BlocksBody
    | Loans
    | Explained
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Request | Reply)


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    return ENCODER.encode(message)


def decode(frame: bytes) -> Message:
    """Decode and validate a frame.

    :raises msgspec.DecodeError: the frame is malformed.
    """
    return DECODER.decode(frame)
