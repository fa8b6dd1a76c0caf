"""HTTP interface of the agent for operators."""

import hmac
import re
from collections.abc import Sequence
from typing import Annotated, Any, Protocol, TypeVar

import msgspec
from result import Err, Ok, Result
from tornado import web
from tornado.httpserver import HTTPServer

from egretmill.accounts import digest_of
from egretmill.document import Environment
from egretmill.document.promotion import MAX_DOCUMENT_BYTES, Promoter
from egretmill.errors import ErrorKind, Failure
from egretmill.events import CATALOGUE
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
    'listen',
    'make_application',
)

BodyT = TypeVar('BodyT')
OptionalDigest = Annotated[
    str,
    msgspec.Meta(pattern=r'^(sha256:[0-9a-f]{64})?\Z'),
]
BEARER = 'Bearer '
JSON_TYPE = 'application/json'
TOML_TYPE = 'application/toml'
# Larger bodies are cut off while they arrive; smaller ones get an answer
# that names the limit of a document.
MAX_BODY_BYTES = 4 * MAX_DOCUMENT_BYTES
ATTEMPT_PATTERN = re.compile('[A-Za-z0-9-]{8,64}')
OPERATOR_PATTERN = re.compile('[A-Za-z0-9._-]{1,64}')
VERSION_PATTERN = re.compile('[0-9]{1,15}')
HTTP_METHOD_NOT_ALLOWED = 405
HTTP_SERVER_ERROR = 500


class AgentView(Protocol):
    """What the operations port needs of the agent."""

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

    async def explain(self, question: Explain) -> Result[Explained, Failure]:
        """Tell how the local entry would decide a request."""

    async def retire(self, host: str) -> Result[None, Failure]:
        """End the lease of a host that an operator states to be gone.

        ``not_found`` when no such host holds a share slot.
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
        """Take the public part of what the agent knows."""
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
    """Answer to ``GET /v1/status``, as seen by one host."""

    host: str
    version: int
    digest: str
    hosts: tuple[HostStatus, ...]

    @classmethod
    def from_view(cls, view: AgentView) -> 'StatusReport':
        """Collect the report, hosts in the order of their names."""
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

    #: Content type that a body must have. Browsers do not send it to
    #: another site on their own, so a web page that an operator visits
    #: cannot promote or retire anything.
    body_type = JSON_TYPE

    def initialize(self, view: AgentView, token_digest: str | None) -> None:
        """Keep what the handlers share."""
        self.view = view
        self.token_digest = token_digest

    def prepare(self) -> None:
        """Refuse requests without the token or with another body type."""
        allowed = self.check_token()
        if allowed.is_ok() and self.request.method == 'POST':
            allowed = self.check_type()
        if isinstance(allowed, Err):
            self.refuse(allowed.err_value)

    def check_token(self) -> Result[None, Failure]:
        """Compare the operators' token, if one is set."""
        if self.token_digest is None:
            return Ok(None)
        header = self.request.headers.get('Authorization', '')
        if not header.startswith(BEARER):
            detail = 'send Authorization: Bearer <token>'
            return Err(Failure(ErrorKind.MISSING_KEY, detail))
        given = digest_of(header.removeprefix(BEARER))
        if not hmac.compare_digest(given, self.token_digest):
            return Err(Failure(ErrorKind.UNKNOWN_KEY, 'wrong token'))
        return Ok(None)

    def check_type(self) -> Result[None, Failure]:
        """Require the content type of the body."""
        given = self.request.headers.get('Content-Type', '')
        if given.partition(';')[0].strip() == self.body_type:
            return Ok(None)
        detail = f'send Content-Type: {self.body_type}'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))

    def refuse(self, failure: Failure) -> None:
        """Answer a failure with its status."""
        answer = failure.answer
        self.set_status(answer.status)
        if answer.retry_after_s is not None:
            self.set_header('Retry-After', str(answer.retry_after_s))
        self.finish({'error': failure.kind, 'detail': failure.detail})

    def respond(self, answer: Result[Any, Failure]) -> None:
        """Answer a JSON document or a failure."""
        match answer:
            case Ok(found):
                self.set_header('Content-Type', JSON_TYPE)
                self.finish(msgspec.json.encode(found))
            case Err(failure):
                self.refuse(failure)

    def decode(self, kind: type[BodyT]) -> Result[BodyT, Failure]:
        """Decode the JSON body of the request."""
        try:
            return Ok(msgspec.json.decode(self.request.body, type=kind))
        except msgspec.DecodeError as error:
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
        """Write one event for an exception that no handler expected."""
        log_event(
            CATALOGUE.HANDLER_FAILED,
            path=self.request.path,
            error=repr(exception_info[1]),
        )


class PromoteHandler(OperationsHandler):
    """``POST /v1/promote?replaces=N&attempt=ID&operator=NAME``.

    The body is the document itself, so that its bytes pass unchanged.
    """

    body_type = TOML_TYPE

    async def post(self) -> None:
        """Promote the document and answer its version and digest."""
        attempt_id = self.get_query_argument('attempt', '', strip=False)
        operator = self.get_query_argument('operator', '', strip=False)
        replaces = self.get_query_argument('replaces', '', strip=False)
        for name, given, pattern in (
            ('replaces', replaces, VERSION_PATTERN),
            ('attempt', attempt_id, ATTEMPT_PATTERN),
            ('operator', operator, OPERATOR_PATTERN),
        ):
            if not pattern.fullmatch(given):
                detail = f'{name}={given!r} must match {pattern.pattern}'
                self.refuse(Failure(ErrorKind.BAD_REQUEST, detail))
                return
        promoted = await self.view.promoter.promote(
            self.request.body,
            int(replaces),
            attempt_id,
            operator,
        )
        self.respond(promoted)


class StatusHandler(OperationsHandler):
    """``GET /v1/status``."""

    def get(self) -> None:
        """Answer a :class:`StatusReport`."""
        self.respond(Ok(StatusReport.from_view(self.view)))


class DocumentHandler(OperationsHandler):
    """``GET /v1/document``."""

    def get(self) -> None:
        """Answer the exact bytes of the document in force."""
        environment = self.view.environment
        if environment is None:
            detail = 'no version of the document is known here yet'
            self.refuse(Failure(ErrorKind.NOT_FOUND, detail))
            return
        self.set_header('Content-Type', TOML_TYPE)
        self.set_header('X-Document-Version', str(environment.version))
        self.set_header('X-Document-Digest', environment.digest)
        self.finish(environment.body)


class ExplainHandler(OperationsHandler):
    """``POST /v1/explain``."""

    async def post(self) -> None:
        """Answer how a request would be decided, line by line."""
        asked = self.decode(ExplainBody)
        if isinstance(asked, Err):
            self.refuse(asked.err_value)
            return
        body = asked.ok_value
        question = Explain(body.method, body.path, body.key_digest)
        explained = await self.view.explain(question)
        self.respond(explained.map(lambda found: {'lines': found.lines}))


class RetireHandler(OperationsHandler):
    """``POST /v1/retire``."""

    async def post(self) -> None:
        """End the lease of a host that is gone."""
        asked = self.decode(RetireBody)
        if isinstance(asked, Err):
            self.refuse(asked.err_value)
            return
        host = asked.ok_value.host
        retired = await self.view.retire(host)
        self.respond(retired.map(lambda _: {'retired': host}))


class UnknownPathHandler(OperationsHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Answer 404 to whoever has the token."""
        unknown = Err(Failure(ErrorKind.NOT_FOUND, self.request.path))
        answer = self.check_token().and_then(lambda _: unknown)
        self.refuse(answer.unwrap_err())


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


def listen(view: AgentView, settings: HostSettings) -> HTTPServer:
    """Serve the operations port on the address of the host.

    The caller stops the server at shutdown.

    :raises OSError: the address or port cannot be bound.
    """
    application = make_application(view, settings.operations_token_digest)
    server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    server.listen(settings.ports.operations, settings.address)
    return server
