"""HTTP interface of the steer program."""

from typing import Any

import msgspec
from result import Err, Ok, Result
from tornado import web

from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.lookup.answer import ANSWER_TTL_S, LookupAnswer
from egretmill.metrics import Metrics
from egretmill.steer.state import SteerState

__all__ = ('make_application',)

ENCODER = msgspec.json.Encoder()
JSON = 'application/json'
# Limit for requests in the design page. The server itself reads more, so
# that a caller above the limit gets an answer, not a closed connection.
MAX_HEADER_BYTES = 16384
KIND_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.METHOD_NOT_ALLOWED,
}


class HostBody(msgspec.Struct, frozen=True):
    """An entry host as callers see it."""

    name: str
    address: str
    port: int
    failure_domain: str


class LookupBody(msgspec.Struct, frozen=True):
    """The answer to a look-up; the preferred host comes first."""

    hosts: list[HostBody]
    ttl_s: int
    version: int
    degraded: bool


class HealthBody(msgspec.Struct, frozen=True):
    """The state of the program."""

    status: str
    version: int
    agent: str
    blocks: str


class ErrorBody(msgspec.Struct, frozen=True):
    """An error answer; ``error`` is an :class:`ErrorKind`."""

    error: str
    detail: str


class SteerHandler(web.RequestHandler):
    """Base of the handlers: JSON answers and errors of known kinds."""

    def initialize(self, state: SteerState, metrics: Metrics) -> None:
        """Store the state that all handlers share."""
        self.state = state
        self.metrics = metrics

    def set_default_headers(self) -> None:
        """Answer JSON; do not name the library and its version."""
        self.set_header('Content-Type', JSON)
        self.clear_header('Server')

    def compute_etag(self) -> None:
        """Send no Etag: answers are not for HTTP caches."""

    def prepare(self) -> None:
        """Reject requests with headers above the limit."""
        headers = self.request.headers.get_all()
        size = sum(len(name) + len(value) for name, value in headers)
        if size > MAX_HEADER_BYTES:
            detail = f'{size} bytes of headers, the limit is {MAX_HEADER_BYTES}'
            self.send_failure(Failure(ErrorKind.HEADERS_TOO_LARGE, detail))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer errors that tornado raises, without a traceback."""
        kind = KIND_BY_STATUS.get(status_code, ErrorKind.INTERNAL)
        self.send_failure(Failure(kind, self._reason))

    def send_failure(self, failure: Failure) -> None:
        """Send a failure as an error answer and count it."""
        self.metrics.count(f'refused.{failure.kind.value}')
        answer = failure.answer
        self.set_status(answer.status)
        if answer.retry_after_s is not None:
            self.set_header('Retry-After', answer.retry_after_s)
        self.send_body(ErrorBody(failure.kind.value, failure.detail))

    def send_body(self, body: msgspec.Struct) -> None:
        """Send a body; during shutdown, have the client disconnect."""
        if self.state.leaving:
            self.set_header('Connection', 'close')
        self.finish(ENCODER.encode(body))


class UnknownPathHandler(SteerHandler):
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Answer 404 to every method."""
        super().prepare()
        if not self._finished:
            self.send_failure(Failure(ErrorKind.NOT_FOUND, self.request.path))


class LookupHandler(SteerHandler):
    """``GET /v1/lookup?service=NAME[&client=IP]``."""

    def get(self) -> None:
        """Answer the entry hosts for a caller."""
        chosen = self.choose_and_log()
        if isinstance(chosen, Err):
            self.send_failure(chosen.err_value)
            return
        answer = chosen.ok_value
        hosts = [
            HostBody(
                host.name, host.address, host.entry_port, host.failure_domain
            )
            for host in answer.hosts
        ]
        version = self.state.version
        self.send_body(
            LookupBody(hosts, ANSWER_TTL_S, version, answer.degraded)
        )

    def choose_and_log(self) -> Result[LookupAnswer, Failure]:
        """Read the arguments, choose the hosts and log the choice."""
        service = self.single_argument('service')
        if isinstance(service, Err):
            return service
        client = self.single_argument('client', self.request.remote_ip)
        if isinstance(client, Err):
            return client
        chosen = self.choose_hosts(service.ok_value, client.ok_value)
        self.log_answer(service.ok_value, client.ok_value, chosen)
        return chosen

    def choose_hosts(
        self,
        service: str,
        client: str,
    ) -> Result[LookupAnswer, Failure]:
        """Choose the entry hosts for a caller."""
        directory = self.state.directory
        if directory is None:
            return Err(Failure(ErrorKind.NOT_READY, 'no state from the agent'))
        try:
            site = self.state.blocks.site_of(client)
        except (OSError, ValueError):
            detail = f'client is no IP address: {client[:64]!r}'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        return directory.answer(service, client, site)

    def single_argument(
        self,
        name: str,
        default: str | None = None,
    ) -> Result[str, Failure]:
        """Return a query argument that may be given only once."""
        values = self.request.query_arguments.get(name, ())
        if len(values) > 1:
            detail = f'{name} is given {len(values)} times'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        if not values:
            if default is None:
                return Err(Failure(ErrorKind.BAD_REQUEST, f'{name} is missing'))
            return Ok(default)
        try:
            return Ok(values[0].decode())
        except UnicodeDecodeError:
            return Err(Failure(ErrorKind.BAD_REQUEST, f'{name} is not UTF-8'))

    def log_answer(
        self,
        service: str,
        client: str,
        chosen: Result[LookupAnswer, Failure],
    ) -> None:
        """Log the answer and what it is based on."""
        if isinstance(chosen, Err):
            log_event(
                events.CATALOGUE.LOOKUP_ANSWERED,
                service=repr(service[:64]),
                client=repr(client[:64]),
                error=chosen.err_value.kind.value,
            )
            return
        answer = chosen.ok_value
        log_event(
            events.CATALOGUE.LOOKUP_ANSWERED,
            service=service,
            client=client,
            site=answer.site,
            domain=answer.domain,
            tier=answer.tier,
            host=answer.hosts[0].name,
            hosts=len(answer.hosts),
            degraded=answer.degraded,
            version=self.state.version,
        )


class HealthHandler(SteerHandler):
    """``GET /v1/health``."""

    def get(self) -> None:
        """Answer 200 while this program should get look-ups."""
        if self.state.leaving:
            self.send_failure(Failure(ErrorKind.SHUTTING_DOWN, 'leaving'))
            return
        if self.state.directory is None:
            self.send_failure(
                Failure(ErrorKind.NOT_READY, 'no state from the agent')
            )
            return
        agent = 'lost' if self.state.agent_lost else 'ok'
        blocks = self.state.blocks_digest
        self.send_body(HealthBody('ready', self.state.version, agent, blocks))


def make_application(state: SteerState, metrics: Metrics) -> web.Application:
    """Return the tornado application."""
    shared = {'state': state, 'metrics': metrics}
    return web.Application(
        [
            ('/v1/lookup', LookupHandler, shared),
            ('/v1/health', HealthHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=shared,
        log_function=lambda handler: None,
    )
