"""Numbered log events; ``docs/events.md`` is generated from this table.

Numbers are never reused. Ranges: 1xx start and stop, 2xx configuration,
3xx requests and routing, 4xx quota, 5xx ledger, 6xx membership, 7xx
look-ups, 8xx malformed input.
"""

import dataclasses
import logging
from collections.abc import Iterator

__all__ = ('CATALOGUE', 'Event', 'catalogue_markdown')


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A kind of log line: number, name, level and meaning."""

    number: int
    name: str
    level: int
    text: str


class CATALOGUE:
    """All events, one class attribute each."""

    STARTED = Event(
        101,
        'started',
        logging.INFO,
        'The program listens on its addresses.',
    )
    STOPPING = Event(
        102,
        'stopping',
        logging.INFO,
        'A graceful shutdown has begun.',
    )
    STOPPED = Event(
        103,
        'stopped',
        logging.INFO,
        'The program has ended; gives the number of cut requests.',
    )
    AGENT_LOST = Event(
        104,
        'agent_lost',
        logging.WARNING,
        'The local agent does not answer; its last state remains in use.',
    )
    AGENT_BACK = Event(
        105,
        'agent_back',
        logging.INFO,
        'The local agent answers again.',
    )
    READY = Event(
        106,
        'ready',
        logging.INFO,
        'The host is ready for callers; gives the time since its start.',
    )
    SETTINGS_RELOADED = Event(
        107,
        'settings_reloaded',
        logging.INFO,
        'The settings file was reloaded; says whether it has changed.',
    )
    SETTINGS_REJECTED = Event(
        108,
        'settings_rejected',
        logging.ERROR,
        'Changed settings are invalid; the previous ones stay in force.',
    )
    LOAD_HIGH = Event(
        109,
        'load_high',
        logging.WARNING,
        'Many connections, a late event loop, a full link or failed accepts '
        'in the last second; gives the figures.',
    )
    CALLERS_EVICTED = Event(
        111,
        'callers_evicted',
        logging.WARNING,
        'The connections of callers kept too much memory. The requests that '
        'kept the most were refused, or their connections closed; gives their '
        'number and the bytes before and after.',
    )
    UNREAD_UNKNOWN = Event(
        114,
        'unread_unknown',
        logging.WARNING,
        'The kernel does not say how many bytes of a caller it holds. They do '
        'not count in the memory of the callers.',
    )
    ACCEPT_FAILED = Event(
        110,
        'accept_failed',
        logging.WARNING,
        'A listener cannot serve new connections and closes them. The host is '
        'not ready until its entry listener accepts again.',
    )
    CONFIGURATION_APPLIED = Event(
        201,
        'configuration_applied',
        logging.INFO,
        'A newer version of the environment document is in force.',
    )
    CONFIGURATION_REJECTED = Event(
        202,
        'configuration_rejected',
        logging.ERROR,
        'A received document is damaged, invalid or older.',
    )
    PROMOTED = Event(
        203,
        'promoted',
        logging.INFO,
        'A promotion was accepted by the platform through this agent.',
    )
    PROMOTION_REFUSED = Event(
        204,
        'promotion_refused',
        logging.WARNING,
        'A promotion was refused; gives the reason.',
    )
    PLATFORM_LOST = Event(
        205,
        'platform_lost',
        logging.WARNING,
        'The platform does not answer within the deadline.',
    )
    PLATFORM_BACK = Event(
        206,
        'platform_back',
        logging.INFO,
        'The platform answers again.',
    )
    PROMOTION_UNKNOWN = Event(
        207,
        'promotion_unknown',
        logging.WARNING,
        'A promotion may have taken effect; the platform did not answer.',
    )
    EVACUATIONS_CHANGED = Event(
        208,
        'evacuations_changed',
        logging.INFO,
        'The evacuated failure domains have changed.',
    )
    UPSTREAM_CHANGED = Event(
        209,
        'upstream_changed',
        logging.INFO,
        'An upstream was added or removed, or restarted or changed state.',
    )
    UPSTREAM_RECORD_IGNORED = Event(
        221,
        'upstream_record_ignored',
        logging.INFO,
        'A record of an upstream is older than what is known of it.',
    )
    ROW_MALFORMED = Event(
        210,
        'row_malformed',
        logging.WARNING,
        'A row of the store could not be used.',
    )
    HISTORY_GONE = Event(
        211,
        'history_gone',
        logging.INFO,
        'The store no longer has all changes; the whole table is read.',
    )
    STALE_READ = Event(
        212,
        'stale_read',
        logging.WARNING,
        'The store answered with an older state than in an earlier read.',
    )
    ROWS_READ = Event(
        213,
        'rows_read',
        logging.INFO,
        'A call to the store brought rows; says how long before it was sent.',
    )
    STORE_RESTORED = Event(
        222,
        'store_restored',
        logging.WARNING,
        'The store has returned from an older copy; later writes are lost.',
    )
    UPSTREAM_LEAVING = Event(
        223,
        'upstream_leaving',
        logging.INFO,
        'An upstream said in an answer to this host or a peer that it leaves.',
    )
    UPSTREAM_PAUSED = Event(
        224,
        'upstream_paused',
        logging.INFO,
        'An upstream has asked this host to send nothing for a time.',
    )
    STORE_CALL_FAILED = Event(
        214,
        'store_call_failed',
        logging.INFO,
        'A further call to the store failed during an outage.',
    )
    COPIES_CONFIRMED = Event(
        215,
        'copies_confirmed',
        logging.INFO,
        'Once per second: age of each copy, who confirmed it, at what age.',
    )
    STORE_READ_REPEATED = Event(
        216,
        'store_read_repeated',
        logging.INFO,
        'A read without an answer so far is sent on a new connection too.',
    )
    UPSTREAM_LIMITED = Event(
        217,
        'upstream_limited',
        logging.INFO,
        'An upstream states a limit on the rate from all hosts, or its end.',
    )
    COPY_RECEIVED = Event(
        218,
        'copy_received',
        logging.INFO,
        'The configuration was read from a peer; says whether it was newer.',
    )
    COPY_NOT_RECEIVED = Event(
        219,
        'copy_not_received',
        logging.WARNING,
        'A peer with a newer configuration did not pass it on.',
    )
    REQUEST_ROUTED = Event(
        301,
        'request_routed',
        logging.INFO,
        'Site and upstream chosen for one attempt, with the reasons.',
    )
    REQUEST_ANSWERED = Event(
        302,
        'request_answered',
        logging.INFO,
        'The answer was sent in full; gives status and duration.',
    )
    REQUEST_REFUSED = Event(
        303,
        'request_refused',
        logging.INFO,
        'The request got an error answer; gives kind and outcome.',
    )
    REQUEST_BROKEN = Event(
        304,
        'request_broken',
        logging.WARNING,
        'The connection to the caller was closed before the answer ended.',
    )
    REQUEST_RETRIED = Event(
        305,
        'request_retried',
        logging.INFO,
        'An attempt failed and another upstream is tried.',
    )
    REQUEST_UNREADABLE = Event(
        306,
        'request_unreadable',
        logging.INFO,
        'A caller sent bytes that are not a valid request.',
    )
    CALLER_GONE = Event(
        307,
        'caller_gone',
        logging.INFO,
        'The caller disconnected before its answer; the call was cancelled.',
    )
    REQUEST_ANSWERED_EARLY = Event(
        308,
        'request_answered_early',
        logging.INFO,
        'An upstream answered before its request was sent whole.',
    )
    REQUEST_BODY_CUT = Event(
        309,
        'request_body_cut',
        logging.WARNING,
        'An upstream answered an upload early and did not get the rest.',
    )
    SHARE_SLOT_ACQUIRED = Event(
        401,
        'share_slot_acquired',
        logging.INFO,
        'This host holds a share slot and may use what the slot owns.',
    )
    SHARE_SLOT_LOST = Event(
        402,
        'share_slot_lost',
        logging.WARNING,
        'The lease of the share slot has expired or was taken over.',
    )
    LOAN_GRANTED = Event(
        403,
        'loan_granted',
        logging.DEBUG,
        'A part of an owned share was lent to a peer.',
    )
    LOAN_RECEIVED = Event(
        404,
        'loan_received',
        logging.DEBUG,
        'A peer lent a part of its share.',
    )
    SHARE_SLOT_WAITING = Event(
        405,
        'share_slot_waiting',
        logging.WARNING,
        'No share slot of the failure domain is free; the host waits.',
    )
    CLAIM_DECIDED = Event(
        501,
        'claim_decided',
        logging.INFO,
        'A claim for an idempotency key was decided; gives the decision.',
    )
    CLAIM_ORPHANED = Event(
        502,
        'claim_orphaned',
        logging.WARNING,
        'A claim was refused although its write may have taken effect.',
    )
    CLAIM_RELEASED = Event(
        503,
        'claim_released',
        logging.INFO,
        'An orphaned claim no longer blocks its key.',
    )
    PEER_UP = Event(
        601,
        'peer_up',
        logging.INFO,
        'A peer answers heartbeats.',
    )
    PEER_DOWN = Event(
        602,
        'peer_down',
        logging.WARNING,
        'A peer has missed its heartbeats.',
    )
    PEER_RESTARTED = Event(
        603,
        'peer_restarted',
        logging.INFO,
        'A peer answers with a higher incarnation.',
    )
    PEER_UNREACHABLE = Event(
        604,
        'peer_unreachable',
        logging.DEBUG,
        'A datagram to a peer was rejected by the network.',
    )
    ROSTER_CHANGED = Event(
        605,
        'roster_changed',
        logging.INFO,
        'Hosts were added to or removed from the roster.',
    )
    ROSTER_JOINED = Event(
        606,
        'roster_joined',
        logging.INFO,
        'The host has its entry in the roster; says whether it is new.',
    )
    ROSTER_REMOVED = Event(
        607,
        'roster_removed',
        logging.INFO,
        'The roster entry of a host that has left was removed.',
    )
    ROSTER_MARKED = Event(
        608,
        'roster_marked',
        logging.WARNING,
        'A silent host is suspected of having left, or no longer is.',
    )
    PEER_DIFFERS = Event(
        612,
        'peer_differs',
        logging.WARNING,
        'A peer has had other data for long; the whole table is read again.',
    )
    HEARTBEATS_REFUSED = Event(
        613,
        'heartbeats_refused',
        logging.WARNING,
        'There was no room for heartbeats, most of them from hosts that the '
        'roster does not name; gives their number since the last line, and how '
        'many dead hosts were removed.',
    )
    CHANGES_IGNORED = Event(
        614,
        'changes_ignored',
        logging.WARNING,
        'Changes of upstreams did not come from the address of a host that '
        'takes part in the fleet.',
    )
    DUTY_CHANGED = Event(
        609,
        'duty_changed',
        logging.INFO,
        'The host starts or stops following the store for the others.',
    )
    LOOKUP_ANSWERED = Event(
        701,
        'lookup_answered',
        logging.INFO,
        'Entry hosts were chosen for a caller, with the reasons.',
    )
    MALFORMED_FRAME = Event(
        801,
        'malformed_frame',
        logging.WARNING,
        'A frame between programs could not be decoded.',
    )
    HEADER_MALFORMED = Event(
        803,
        'header_malformed',
        logging.WARNING,
        'A header of an upstream could not be decoded; it is not used.',
    )
    HANDLER_FAILED = Event(
        802,
        'handler_failed',
        logging.ERROR,
        'A handler failed with an unexpected exception.',
    )

    @classmethod
    def all_events(cls) -> Iterator[Event]:
        """Yield all declared events in the order of their numbers."""
        declared = [
            item for item in vars(cls).values() if isinstance(item, Event)
        ]
        yield from sorted(declared, key=lambda event: event.number)


def catalogue_markdown() -> str:
    """Return the text of ``docs/events.md``."""
    lines = [
        '# Log events',
        '',
        'Generated by `python -m egretmill.events`; a test compares it.',
        '',
        '| number | name | level | meaning |',
        '|---|---|---|---|',
    ]
    for event in CATALOGUE.all_events():
        level = logging.getLevelName(event.level)
        lines.append(
            f'| {event.number} | `{event.name}` | {level} | {event.text} |',
        )
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    print(catalogue_markdown(), end='')  # noqa: WPS421
