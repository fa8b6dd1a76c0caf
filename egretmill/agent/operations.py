"""HTTP interface of the agent for operators."""

import hmac
import re
from collections.abc import Sequence
from typing import Annotated, Any, Protocol, TypeVar

import msgspec
from result import Err, Ok, Result
from tornado import web
from tornado.httpserver import HTTPServer

from egretmill.decoding import DECODE_ERRORS
from egretmill.accounts import digest_key
from egretmill.document import Environment
from egretmill.document.promotion import MAX_DOCUMENT_BYTES, Promoter
from egretmill.errors import ErrorKind, Failure
from egretmill.events import CATALOGUE
from egretmill.bounded_server import BoundedServer, ServerLimits
from egretmill.listening import listen
from egretmill.logs import log_event
from egretmill.settings import HostSettings
from egretmill.wire.messages import Explain, Explained, PeerState

__all__ = (
    'JSON_TYPE',
    'OPERATOR_PATTERN',
    'TOML_TYPE',
    'VERSION_PATTERN',
    'AgentView',
    'HostStatus',
    'StatusReport',
    'make_application',
    'serve_operations',
)

BodyT = TypeVar('BodyT')
OptionalDigest = Annotated[
    str,
    msgspec.Meta(pattern=r'^(sha256:[0-9a-f]{64})?\Z'),
]
BEARER = 'Bearer '
JSON_TYPE = 'application/json'
TOML_TYPE = 'application/toml'
# Larger bodies are cut off while they arrive. Bodies between the limit of a
# document and this one get an answer that names the former.
LIMITS = ServerLimits(
    connections=16,
    header_bytes=65536,
    body_bytes=4 * MAX_DOCUMENT_BYTES,
    body_s=30.0,
)
ATTEMPT_PATTERN = re.compile('[A-Za-z0-9-]{8,64}')
OPERATOR_PATTERN = re.compile('[A-Za-z0-9._-]{1,64}')
VERSION_PATTERN = re.compile('[0-9]{1,15}')
HTTP_METHOD_NOT_ALLOWED = 405
HTTP_SERVER_ERROR = 500


class AgentView(Protocol):
    """Interface of the agent that the operations port uses."""

    @property
    def host(self) -> str:
        """Return the name of this host."""

    @property
    def environment(self) -> Environment | None:
        """Return the document in force here, ``None`` before the first."""

    @property
    def promoter(self) -> Promoter:
        """Return the promoter of this agent."""

    def peers(self) -> Sequence[PeerState]:
        """Return the state of all known entry hosts, this one included."""

    async def explain(self, request: Explain) -> Result[Explained, Failure]:
        """Return how the local entry program would decide a request."""

    async def retire(self, host: str) -> Result[None, Failure]:
        """Free the share slots of a host that an operator declares gone.

        :returns: ``not_found`` when no such host holds a share slot.
        """


class HostStatus(msgspec.Struct, frozen=True):
    """One entry host in ``GET /v1/status``."""

    name: str
    state: str
    incarnation: int
    version: int
    confirmation_age_s: float | None
    reachable: bool
    ready: bool
    leaving: bool
    slot: int | None

    @classmethod
    def from_peer(cls, peer: PeerState) -> 'HostStatus':
        """Build from the state of a peer."""
        return cls(
            peer.host.name,
            peer.host.state,
            peer.incarnation,
            peer.version,
            peer.confirmation_age_s,
            peer.reachable,
            peer.entry_ready,
            peer.leaving,
            peer.slot_index,
        )


class StatusReport(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/status``: the fleet as seen by one host."""

    host: str
    version: int
    digest: str
    hosts: tuple[HostStatus, ...]

    @classmethod
    def from_view(cls, view: AgentView) -> 'StatusReport':
        """Build the report, with the hosts sorted by name."""
        environment = view.environment
        hosts = sorted(view.peers(), key=lambda peer: peer.host.name)
        return cls(
            view.host,
            environment.version if environment else 0,
            environment.digest if environment else '',
            tuple(HostStatus.from_peer(peer) for peer in hosts),
        )


class ExplainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/explain``."""

    method: str
    path: str
    key_digest: OptionalDigest = ''


class RetireBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/retire``."""

    host: str


class OperationsHandler(web.RequestHandler):
    """Base of the handlers: token check and JSON errors."""

    #: Required content type of a body. Browsers send it to another site only
    #: after a CORS preflight, so a web page that an operator visits cannot
    #: promote or retire anything.
    content_type = JSON_TYPE

    def initialize(self, view: AgentView, token_digest: str | None) -> None:
        """Store the state that all handlers share."""
        self.view = view
        self.token_digest = token_digest

    def prepare(self) -> None:
        """Reject requests without the token or with a wrong content type."""
        allowed = self.check_token()
        if allowed.is_ok() and self.request.method == 'POST':
            allowed = self.check_content_type()
        if isinstance(allowed, Err):
            self.send_failure(allowed.err_value)

    def check_token(self) -> Result[None, Failure]:
        """Check the operators' token, if one is required."""
        if self.token_digest is None:
            return Ok(None)
        header = self.request.headers.get('Authorization', '')
        if not header.startswith(BEARER):
            detail = 'send Authorization: Bearer <token>'
            return Err(Failure(ErrorKind.MISSING_KEY, detail))
        actual_digest = digest_key(header.removeprefix(BEARER))
        if not hmac.compare_digest(actual_digest, self.token_digest):
            return Err(Failure(ErrorKind.UNKNOWN_KEY, 'wrong token'))
        return Ok(None)

    def check_content_type(self) -> Result[None, Failure]:
        """Check the content type of the body."""
        header = self.request.headers.get('Content-Type', '')
        if header.partition(';')[0].strip() == self.content_type:
            return Ok(None)
        detail = f'send Content-Type: {self.content_type}'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))

    def send_failure(self, failure: Failure) -> None:
        """Send a failure as an error answer with its status."""
        answer = failure.answer
        self.set_status(answer.status)
        if answer.retry_after_s is not None:
            self.set_header('Retry-After', str(answer.retry_after_s))
        self.finish({'error': failure.kind, 'detail': failure.detail})

    def send_result(self, answer: Result[Any, Failure]) -> None:
        """Send a result as JSON, or its failure as an error answer."""
        match answer:
            case Ok(content):
                self.set_header('Content-Type', JSON_TYPE)
                self.finish(msgspec.json.encode(content))
            case Err(failure):
                self.send_failure(failure)

    def decode_body(self, model: type[BodyT]) -> Result[BodyT, Failure]:
        """Decode the JSON body of the request."""
        try:
            return Ok(msgspec.json.decode(self.request.body, type=model))
        except DECODE_ERRORS as error:
            return Err(Failure(ErrorKind.BAD_REQUEST, str(error)))

    def write_error(self, status_code: int, **details: Any) -> None:
        """Answer errors that tornado raises, without a traceback."""
        kind = ErrorKind.BAD_REQUEST
        if status_code == HTTP_METHOD_NOT_ALLOWED:
            kind = ErrorKind.METHOD_NOT_ALLOWED
        if status_code >= HTTP_SERVER_ERROR:
            kind = ErrorKind.INTERNAL
        self.finish({'error': kind, 'detail': self._reason})

    def log_exception(self, *exception_info: Any) -> None:
        """Log one event for an unexpected exception of a handler."""
        log_event(
            CATALOGUE.HANDLER_FAILED,
            path=self.request.path,
            error=repr(exception_info[1]),
        )


class PromoteHandler(OperationsHandler):
    """``POST /v1/promote?replaces=N&attempt=ID&operator=NAME``.

    The body is the document itself, so that its bytes stay unchanged.
    """

    content_type = TOML_TYPE

    async def post(self) -> None:
        """Promote the document; answer its version and digest."""
        attempt_id = self.get_query_argument('attempt', '', strip=False)
        operator = self.get_query_argument('operator', '', strip=False)
        replaces = self.get_query_argument('replaces', '', strip=False)
        for name, value, pattern in (
            ('replaces', replaces, VERSION_PATTERN),
            ('attempt', attempt_id, ATTEMPT_PATTERN),
            ('operator', operator, OPERATOR_PATTERN),
        ):
            if not pattern.fullmatch(value):
                detail = f'{name}={value!r} must match {pattern.pattern}'
                self.send_failure(Failure(ErrorKind.BAD_REQUEST, detail))
                return
        promoted = await self.view.promoter.promote(
            self.request.body,
            int(replaces),
            attempt_id,
            operator,
        )
        self.send_result(promoted)


class StatusHandler(OperationsHandler):
    """``GET /v1/status``."""

    def get(self) -> None:
        """Answer a :class:`StatusReport`."""
        self.send_result(Ok(StatusReport.from_view(self.view)))


class DocumentHandler(OperationsHandler):
    """``GET /v1/document``."""

    def get(self) -> None:
        """Answer the exact bytes of the document in force."""
        environment = self.view.environment
        if environment is None:
            detail = 'no version of the document is known here yet'
            self.send_failure(Failure(ErrorKind.NOT_FOUND, detail))
            return
        self.set_header('Content-Type', TOML_TYPE)
        self.set_header('X-Document-Version', str(environment.version))
        self.set_header('X-Document-Digest', environment.digest)
        self.finish(environment.body)


class ExplainHandler(OperationsHandler):
    """``POST /v1/explain``."""

    async def post(self) -> None:
        """Answer how a request would be decided, line by line."""
        decoded = self.decode_body(ExplainBody)
        if isinstance(decoded, Err):
            self.send_failure(decoded.err_value)
            return
        body = decoded.ok_value
        request = Explain(body.method, body.path, body.key_digest)
        explained = await self.view.explain(request)
        self.send_result(
            explained.map(lambda explanation: {'lines': explanation.lines})
        )


class RetireHandler(OperationsHandler):
    """``POST /v1/retire``."""

    async def post(self) -> None:
        """Free the share slots of a host that is gone."""
        decoded = self.decode_body(RetireBody)
        if isinstance(decoded, Err):
            self.send_failure(decoded.err_value)
            return
        host = decoded.ok_value.host
        retired = await self.view.retire(host)
        self.send_result(retired.map(lambda _: {'retired': host}))


class UnknownPathHandler(OperationsHandler):
    """Handler of all other paths."""

    def prepare(self) -> None:
        """Answer 404, or that the token is missing or wrong."""
        unknown = Err(Failure(ErrorKind.NOT_FOUND, self.request.path))
        result = self.check_token().and_then(lambda _: unknown)
        self.send_failure(result.unwrap_err())


def make_application(
    view: AgentView,
    token_digest: str | None,
) -> web.Application:
    """Return the tornado application of the operations port.

    :param view: the agent.
    :param token_digest: digest of the operators' token, or ``None``.
    """
    shared = {'view': view, 'token_digest': token_digest}
    return web.Application(
        [
            ('/v1/promote', PromoteHandler, shared),
            ('/v1/status', StatusHandler, shared),
            ('/v1/document', DocumentHandler, shared),
            ('/v1/explain', ExplainHandler, shared),
            ('/v1/retire', RetireHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=shared,
        log_function=lambda handler: None,
    )


def serve_operations(view: AgentView, settings: HostSettings) -> HTTPServer:
    """Serve the operations port on the address of the host.

    The caller stops the server at shutdown.

    :raises OSError: the address or port cannot be bound.
    """
    application = make_application(view, settings.operations_token_digest)
    server = BoundedServer(application, LIMITS)
    listen(server, settings.ports.operations, settings.address)
    return server
