"""Classifies the result of one attempt at an upstream."""

import dataclasses

from result import Err, Result

from egretmill.decoding import parse_count
from egretmill.errors import ErrorKind, Failure
from egretmill.fleet.configuration import Route
from egretmill.host.answers import Refusal
from egretmill.host.dialect import Dialect
from egretmill.host.headers import strip_internal_headers
from egretmill.http1 import CallFailure, FailureCause, Response
from egretmill.placement.load import LoadReport
from egretmill.placement.observations import ObservationKind
from egretmill.placement.stated_limit import StatedRate

__all__ = ('AttemptResult', 'classify_attempt')

HTTP_OK = 200
HTTP_REDIRECT = 300
HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt at an upstream.

    :param end: value of the metric label ``end``.
    :param observation: what it shows of the upstream's health.
    :param response: goes to the caller.
    :param failed_response: the upstream's own error response, which goes to
        the caller unless another attempt succeeds.
    :param refusal: the answer when no other attempt follows.
    :param load_report: load that the upstream stated in its response.
    :param stated_rate: what the response says of the upstream's limit;
        ``None`` if it says nothing of it.
    :param is_leaving: the response says that the upstream is leaving.
    :param pause_s: pause that the response asks for, 0 for none.
    :param maybe_run: the upstream may have run the request.
    :param handled: the upstream has handled the request's object.
    """

    end: str
    observation: ObservationKind
    response: Response | None = None
    failed_response: Response | None = None
    refusal: Refusal | None = None
    load_report: LoadReport | None = None
    stated_rate: StatedRate | None = None
    is_leaving: bool = False
    pause_s: float = 0
    maybe_run: bool = False
    handled: bool = False

    @classmethod
    def cancelled(cls) -> 'AttemptResult':
        """Return the result of an attempt whose caller has disconnected."""
        return cls('cancelled', ObservationKind.CANCELLED, maybe_run=True)

    @classmethod
    def timed_out(cls) -> 'AttemptResult':
        """Return the result of an attempt that was cut off by the deadline."""
        return cls(
            FailureCause.TIMEOUT.value,
            ObservationKind.TIMEOUT,
            maybe_run=True,
        )


def classify_attempt(
    attempt: Result[Response, CallFailure],
    dialect: Dialect,
    route: Route,
) -> AttemptResult:
    """Classify the response of an upstream, or the failure to get one."""
    if isinstance(attempt, Err):
        return _classify_failure(attempt.err_value)
    response = attempt.ok_value
    return dataclasses.replace(
        _classify_response(response, dialect, route),
        stated_rate=parse_stated_rate(response, dialect),
        is_leaving=parse_leaving(response, dialect),
        pause_s=parse_pause(response, dialect),
    )


def parse_leaving(response: Response, dialect: Dialect) -> bool:
    """Return whether a response says that its upstream is leaving.

    A misdirected request was answered by another upstream.
    """
    text = response.fields.get(dialect.leaving)
    if text is None or response.status == HTTP_MISDIRECTED:
        return False
    return dialect.decode_leaving(text)


def parse_pause(response: Response, dialect: Dialect) -> float:
    """Return the pause that a response asks for, 0 for none."""
    text = response.fields.get(dialect.pause)
    if text is None or response.status != HTTP_UNAVAILABLE:
        return 0
    return dialect.decode_pause(text) or 0


def parse_stated_rate(
    response: Response, dialect: Dialect
) -> StatedRate | None:
    """Return what a response says of its upstream's limit.

    Only a signed response without the header shows that there is no limit:
    an upstream may reject a request before it adds its own headers, and a
    misdirected request was answered by another upstream.
    """
    if response.status == HTTP_MISDIRECTED:
        return None
    is_signed = dialect.signature in response.fields
    text = response.fields.get(dialect.rate_limit)
    if text is None:
        return StatedRate() if is_signed else None
    if not is_signed and dialect.not_run not in response.fields:
        return None
    rate_per_s = dialect.decode_rate(text)
    return None if rate_per_s is None else StatedRate(rate_per_s)


def _classify_response(
    response: Response, dialect: Dialect, route: Route
) -> AttemptResult:
    load_report = parse_load_report(response.fields.get(dialect.load))
    if response.status == HTTP_MISDIRECTED:
        return _rejection('misdirected', ObservationKind.REFUSED, load_report)
    if dialect.not_run in response.fields:
        return _rejection('shed', ObservationKind.SHED, load_report)
    if HTTP_OK <= response.status < HTTP_REDIRECT:
        return _classify_success(response, dialect, load_report)
    answer = strip_internal_headers(response, dialect)
    if response.status >= HTTP_SERVER_ERROR and route.is_idempotent:
        failure = Failure(ErrorKind.UPSTREAM_FAILED, str(response.status))
        return AttemptResult(
            'error',
            ObservationKind.OK,
            failed_response=answer,
            refusal=Refusal.unknown(failure),
            load_report=load_report,
            maybe_run=True,
        )
    return AttemptResult(
        'error',
        ObservationKind.OK,
        response=answer,
        load_report=load_report,
        maybe_run=True,
    )


def parse_load_report(text: bytes | None) -> LoadReport | None:
    """Parse ``running,waiting,slots``; return ``None`` when malformed."""
    if text is None:
        return None
    counts = [parse_count(part) for part in text.split(b',')]
    if len(counts) != 3 or None in counts:
        return None
    return LoadReport(*counts)


def _classify_success(
    response: Response,
    dialect: Dialect,
    load_report: LoadReport | None,
) -> AttemptResult:
    if dialect.signature not in response.fields:
        failure = Failure(ErrorKind.UPSTREAM_FAILED, 'response not signed')
        return AttemptResult(
            'unsigned',
            ObservationKind.FAILED,
            refusal=Refusal.unknown(failure),
            maybe_run=True,
        )
    return AttemptResult(
        'ok',
        ObservationKind.OK,
        response=strip_internal_headers(response, dialect),
        load_report=load_report,
        maybe_run=True,
        handled=True,
    )


def _rejection(
    end: str,
    observation: ObservationKind,
    load_report: LoadReport | None,
) -> AttemptResult:
    failure = Failure(ErrorKind.UPSTREAM_SHED, end)
    refusal = Refusal.not_run(failure)
    return AttemptResult(
        end, observation, refusal=refusal, load_report=load_report
    )


def _classify_failure(failed: CallFailure) -> AttemptResult:
    if not failed.sent:
        failure = Failure(ErrorKind.UPSTREAM_REFUSED, failed.detail)
        return AttemptResult(
            failed.cause.value,
            ObservationKind.REFUSED,
            refusal=Refusal.not_run(failure),
        )
    kind = ErrorKind.UPSTREAM_FAILED
    observation = ObservationKind.FAILED
    if failed.cause is FailureCause.TIMEOUT:
        kind = ErrorKind.UPSTREAM_TIMEOUT
        observation = ObservationKind.TIMEOUT
    elif failed.cause is FailureCause.CALLER_GONE or _is_closed_while_idle(
        failed
    ):
        observation = ObservationKind.CANCELLED
    return AttemptResult(
        failed.cause.value,
        observation,
        refusal=Refusal.unknown(Failure(kind, failed.detail)),
        maybe_run=True,
    )


def _is_closed_while_idle(failed: CallFailure) -> bool:
    """Return whether an idle connection was closed before the request."""
    return failed.reused and failed.cause is FailureCause.CLOSED
