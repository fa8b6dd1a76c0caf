"""What the end of a call says: about the request, about the upstream."""

import dataclasses

from result import Err, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.fleet.configuration import Route
from egretmill.host.answers import Refusal
from egretmill.host.dialect import Dialect
from egretmill.host.headers import for_caller
from egretmill.http1 import CallFailure, FailureCause, Response
from egretmill.placement.load import LoadReport
from egretmill.placement.observations import ObservationKind

__all__ = ('Verdict', 'judge')

HTTP_OK = 200
HTTP_REDIRECT = 300
HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The end of one attempt.

    :param end: label of the metric.
    :param response: goes to the caller.
    :param failed_response: an upstream's own failure, which goes to the
        caller unless another attempt succeeds.
    :param refusal: the answer when no other attempt follows.
    :param maybe_run: the upstream may have run the request.
    :param ran: the upstream has handled the object.
    """

    end: str
    observation: ObservationKind
    response: Response | None = None
    failed_response: Response | None = None
    refusal: Refusal | None = None
    report: LoadReport | None = None
    maybe_run: bool = False
    ran: bool = False

    @classmethod
    def cancelled(cls) -> 'Verdict':
        """Return the end of an attempt whose caller has gone."""
        return cls('cancelled', ObservationKind.CANCELLED, maybe_run=True)

    @classmethod
    def timed_out(cls) -> 'Verdict':
        """Return the end of an attempt at the deadline of its request."""
        return cls(
            FailureCause.TIMEOUT.value,
            ObservationKind.TIMEOUT,
            maybe_run=True,
        )


def judge(
    ended: Result[Response, CallFailure],
    dialect: Dialect,
    route: Route,
) -> Verdict:
    """Judge the end of a call."""
    if isinstance(ended, Err):
        return _judge_failure(ended.err_value)
    response = ended.ok_value
    report = parse_load(response.fields.get(dialect.load))
    if response.status == HTTP_MISDIRECTED:
        return _not_run('misdirected', ObservationKind.REFUSED, report)
    if dialect.not_run in response.fields:
        return _not_run('shed', ObservationKind.SHED, report)
    if HTTP_OK <= response.status < HTTP_REDIRECT:
        return _judge_success(response, dialect, report)
    answer = for_caller(response, dialect)
    if response.status >= HTTP_SERVER_ERROR and route.idempotent:
        failure = Failure(ErrorKind.UPSTREAM_FAILED, str(response.status))
        return Verdict(
            'error',
            ObservationKind.OK,
            failed_response=answer,
            refusal=Refusal.unknown(failure),
            report=report,
            maybe_run=True,
        )
    return Verdict(
        'error',
        ObservationKind.OK,
        response=answer,
        report=report,
        maybe_run=True,
    )


def parse_load(text: bytes | None) -> LoadReport | None:
    """Read running, waiting and slots; ``None`` when malformed."""
    if text is None:
        return None
    parts = text.split(b',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return LoadReport(running, waiting, slots)


def _judge_success(
    response: Response,
    dialect: Dialect,
    report: LoadReport | None,
) -> Verdict:
    if dialect.signature not in response.fields:
        failure = Failure(ErrorKind.UPSTREAM_FAILED, 'response not signed')
        return Verdict(
            'unsigned',
            ObservationKind.FAILED,
            refusal=Refusal.unknown(failure),
            maybe_run=True,
        )
    return Verdict(
        'ok',
        ObservationKind.OK,
        response=for_caller(response, dialect),
        report=report,
        maybe_run=True,
        ran=True,
    )


def _not_run(
    end: str,
    observation: ObservationKind,
    report: LoadReport | None,
) -> Verdict:
    failure = Failure(ErrorKind.UPSTREAM_SHED, end)
    refusal = Refusal.not_run(failure)
    return Verdict(end, observation, refusal=refusal, report=report)


def _judge_failure(failed: CallFailure) -> Verdict:
    if not failed.sent:
        failure = Failure(ErrorKind.UPSTREAM_REFUSED, failed.detail)
        return Verdict(
            failed.cause.value,
            ObservationKind.REFUSED,
            refusal=Refusal.not_run(failure),
        )
    kind = ErrorKind.UPSTREAM_FAILED
    observation = ObservationKind.FAILED
    if failed.cause is FailureCause.TIMEOUT:
        kind = ErrorKind.UPSTREAM_TIMEOUT
        observation = ObservationKind.TIMEOUT
    elif failed.cause is FailureCause.CALLER_GONE or _is_stale(failed):
        observation = ObservationKind.CANCELLED
    return Verdict(
        failed.cause.value,
        observation,
        refusal=Refusal.unknown(Failure(kind, failed.detail)),
        maybe_run=True,
    )


def _is_stale(failed: CallFailure) -> bool:
    """Tell whether a kept connection had ended before the call."""
    return failed.reused and failed.cause is FailureCause.CLOSED
