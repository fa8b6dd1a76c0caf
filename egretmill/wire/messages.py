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
    """Base of the records that messages contain."""


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
    """State of an entry host as the local agent knows it.

    ``confirmation_age_s`` is the age of the host's last confirmation of
    its version, ``None`` when it has none or it is not known.
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
    """A local program reports its state and asks for that of the host."""

    program: Literal['entry', 'steer']
    incarnation: int
    known_version: int
    ready: bool = True
    leaving: bool = False
    known_upstreams: str = ''


class HostState(Message):
    """Answer to :class:`PullState`.

    ``document`` is empty when the requester already has ``version``, and
    ``upstreams`` is ``None`` when it has those of ``upstreams_digest``.
    Until ``slot_known`` is true, ``slot`` has no meaning when it is
    ``None``: the agent has restarted, and an entry program keeps its slot.
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
    """An entry program claims an idempotency key before it sends a request.

    ``incarnation`` is that of the entry program, 0 when not stated.
    """

    account: str
    idempotency_key: str
    request_digest: str
    attempt_id: str
    timeout_s: float
    incarnation: int = 0


class ClaimDecision(Message):
    """Answer to :class:`Claim`; ``answer`` belongs to ``repeat``.

    ``granted``: run the request. ``repeat``: it has run, with this answer.
    ``not_stored``: it has run, but its answer was too large to store.
    ``in_progress``: an owner that is alive runs it. ``owner_lost``: it may
    have run. ``mismatch``: the key was used with another account or body.
    ``unavailable``: the platform did not decide, and the caller must not
    rely on a claim.
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
    """An entry program records how a claimed request ended.

    ``released``: no byte was sent, so the key may be claimed again.
    """

    account: str
    idempotency_key: str
    attempt_id: str
    state: Literal['done', 'unknown', 'released']
    answer: StoredAnswer | None = None


class Acknowledged(Message):
    """The message was processed."""


class ErrorReply(Message):
    """The message was not processed; ``kind`` is an ``ErrorKind``."""

    kind: str
    detail: str = ''


class Heartbeat(Message):
    """State of one host, sent to each peer; the answer is of this type.

    ``confirmation_age_s`` is the age of the last confirmation that
    ``version`` is the newest; ``platform_age_s`` is the age of the last
    platform answer that this host received itself.
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
    """The steer program asks for the client blocks of a digest, in parts.

    ``base`` is the digest of the table that the requester has; the answer
    may be a delta from it.
    """

    digest: str
    base: str = ''
    offset: int = 0


class BlocksBody(Message):
    """A part of a blocks file or of a delta, from an offset on.

    A part fits into one frame; ``size`` is the total of all parts.
    """

    digest: str
    kind: Literal['table', 'delta']
    offset: int
    size: int
    part: bytes


class Borrow(Message):
    """An entry program asks a peer to lend a part of its share of a total.

    ``amount`` is a rate per second for rate totals and a number of slots
    for concurrency totals. ``renews`` names a loan that is renewed with
    these values, or returned with ``tokens`` if ``duration_s`` is 0.
    ``borrow_id`` identifies the request and is repeated in the answer.
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
    """A lent part of a share; ``duration_s`` counts from the request.

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
    """Answer to :class:`Borrow`; empty when nothing can be lent."""

    loans: tuple[Loan, ...] = ()
    borrow_id: str = ''


class Explain(Message):
    """An operator asks how a request would be routed."""

    method: str
    path: str
    key_digest: str = ''


class Explained(Message):
    """Answer to :class:`Explain`, one line for each step of the decision."""

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
