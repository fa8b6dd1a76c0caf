"""Client connections to upstreams; no pipelining, responses are buffered."""

import asyncio
import dataclasses
import enum
import functools

from result import Err, Ok, Result

from egretmill.decoding import parse_count
from egretmill.http1.buffers import BufferBudget
from egretmill.http1.messages import Response
from egretmill.http1.request_writer import Call, RequestWriter
from egretmill.http1.response_reader import ResponseReader
from egretmill.http1.transport import ConnectionTransport
from egretmill.http1.usage import ConnectionUsage

__all__ = ('CallFailure', 'ClientConnection', 'FailureCause', 'connect')


FIRST_ERROR_STATUS = 400


class FailureCause(enum.StrEnum):
    """Why a call got no complete response."""

    CONNECT = 'connect'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    MALFORMED = 'malformed'
    #: The response belongs to another request.
    MISMATCHED_RESPONSE = 'foreign'
    CALLER_GONE = 'caller_gone'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a complete response.

    :param sent: a part of the request may have reached the upstream.
    :param reused: the connection had carried a call before.
    """

    cause: FailureCause
    sent: bool
    detail: str = ''
    reused: bool = False


CallResult = Result[Response, CallFailure]


class ClientConnection(ConnectionTransport):
    """A connection that carries one call at a time.

    :param idle_since: loop time at which the last call ended.
    :param received_at: loop time at which the last bytes arrived, 0 at first.
    :param sends_rest: the last call was answered with a success before its body
        was written; :meth:`finish_request` sends the rest.
    :param closed: its result is why the connection was lost, if there is a
        reason.
    :param writer: writes the current request; afterwards, ``None`` if the whole
        request was written.
    :param keep_alive_s: how long the upstream keeps an idle connection open, in
        seconds; ``None`` if it does not say.
    """

    def __init__(
        self,
        budget: BufferBudget | None = None,
        usage: ConnectionUsage | None = None,
    ) -> None:
        """Create the state of a connection that has no transport yet.

        :param budget: limit of buffered bytes, shared between connections.
        :param usage: counts the connections of a kind.
        """
        super().__init__(usage)
        self.budget = budget or BufferBudget()
        self.reader: ResponseReader | None = None
        self.writer: RequestWriter | None = None
        self.call: Call | None = None
        self.waiter: asyncio.Future[CallResult] | None = None
        self.sent = False
        self.reusable = True
        self.sends_rest = False
        self.closed: asyncio.Future[Exception | None] = (
            self.loop.create_future()
        )
        self.idle_since = self.loop.time()
        self.received_at = 0.0
        self.keep_alive_s: float | None = None
        self.calls = 0

    @property
    def is_usable(self) -> bool:
        """Return whether the connection can carry another call."""
        return self.reusable and not self.is_closed

    async def send(self, call: Call) -> CallResult:
        """Send a request and return its whole response.

        Cancelling the call resets the connection, so that the upstream can
        stop working on the request. If ``sends_rest`` is set afterwards, call
        :meth:`finish_request` or :meth:`abort`.
        """
        waiter: asyncio.Future[CallResult] = self.loop.create_future()
        self.call = call
        self.waiter = waiter
        self.writer = None
        self.sent = False
        timer = self.loop.call_at(call.deadline_at, self.time_out_call)
        self._start_call(call)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            timer.cancel()
            self._end_call()

    async def finish_request(self, deadline_at: float) -> bool:
        """Send the rest of a request that was answered early, and close.

        Return whether all of it was sent.

        :param deadline_at: loop time at which the rest is given up.
        """
        writer = self.writer
        if writer is None or writer.task is None:
            return True
        is_whole = False
        try:
            async with asyncio.timeout_at(deadline_at):
                await asyncio.wait(
                    (writer.task, self.closed),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                is_whole = writer.is_done
                self.close()
                await asyncio.wait((self.closed,))
        except TimeoutError:
            return False
        finally:
            writer.cancel()
            self.abort()
        return is_whole and self.closed.result() is None

    def abort(self) -> None:
        """Reset the connection."""
        self.reusable = False
        self.sends_rest = False
        self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call unless the close is the end of its response.

        An upstream that closes before it has the whole request resets the
        connection; what came before may be a part of the response.
        """
        super().connection_lost(exc)
        self.writable.set()
        self.closed.set_result(exc)
        is_written = self.writer is None or self.writer.is_done
        if self.reader is not None and exc is None and is_written:
            self.reader.connection_closed()
        self._fail_call(FailureCause.CLOSED, str(exc or 'closed'))

    def eof_received(self) -> bool:
        """Close the connection when the upstream closes its side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reset the connection if no call is running."""
        super().data_received(data)
        if self.sends_rest:
            # Bytes behind the answer belong to no request.
            return
        if self.reader is None or self.waiter is None or self.waiter.done():
            self.abort()
            return
        self.received_at = self.loop.time()
        self.reader.feed(data)

    def response_received(self, response: Response) -> None:
        """End the call unless the response belongs to another request."""
        if self.waiter is None or self.waiter.done():
            # A second response arrived with the first one.
            self.reusable = False
            return
        if self.reader is not None and not self.reader.reusable:
            self.reusable = False
        if _is_mismatched(self, response):
            self._skip_or_fail_mismatched()
            return
        if self.writer is None or not self.writer.is_done:
            # The upstream would take the next request for the rest of the
            # body. A body that has arrived here may still wait to be written.
            self.reusable = False
            self.sends_rest = response.status < FIRST_ERROR_STATUS
        self.keep_alive_s = keep_alive_s(response)
        self.waiter.set_result(Ok(response))

    def time_out_call(self) -> None:
        """Fail the call with a timeout and reset the connection."""
        self._fail_call(FailureCause.TIMEOUT, 'no response in time')
        self.abort()

    def response_rejected(self, detail: str) -> None:
        """Fail the call because the response is malformed or too long."""
        self._fail_call(FailureCause.MALFORMED, detail)
        self.abort()

    def body_truncated(self) -> None:
        """Fail the call because the caller disconnected during its body."""
        self._fail_call(FailureCause.CALLER_GONE, 'body was cut')
        self.abort()

    def _start_call(self, call: Call) -> None:
        if self.is_closed:
            self._fail_call(FailureCause.CLOSED, 'closed before the call')
            return
        self.sent = True
        self.calls += 1
        self.reader = ResponseReader(
            self, self.budget, bodiless=call.method == b'HEAD'
        )
        self.writer = RequestWriter(call, self, self.body_truncated)

    def _skip_or_fail_mismatched(self) -> None:
        if self.calls > 1 and self.reusable:
            return
        self._fail_call(
            FailureCause.MISMATCHED_RESPONSE, 'response to another request'
        )
        self.abort()

    def _fail_call(self, cause: FailureCause, detail: str) -> None:
        self.reusable = False
        if self.waiter is None or self.waiter.done():
            return
        failure = CallFailure(cause, self.sent, detail, self.calls > 1)
        self.waiter.set_result(Err(failure))

    def _end_call(self) -> None:
        self.call = None
        self.waiter = None
        if self.reader is not None:
            self.reader.close()
        self.reader = None
        self.idle_since = self.loop.time()
        if self.sends_rest:
            return
        if self.writer is not None:
            self.writer.cancel()
            if self.writer.is_done:
                self.writer = None
        if not self.reusable:
            self.abort()


async def connect(
    address: str,
    port: int,
    timeout_s: float,
    budget: BufferBudget | None = None,
    usage: ConnectionUsage | None = None,
) -> Result[ClientConnection, CallFailure]:
    """Open a connection; on failure, no request bytes were sent.

    :param timeout_s: longest time for connecting, in seconds.
    :param budget: limit of buffered bytes, shared between connections.
    :param usage: counts the connections of a kind.
    """
    loop = asyncio.get_running_loop()
    usage = usage or ConnectionUsage()
    usage.opening += 1
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                functools.partial(ClientConnection, budget, usage),
                address,
                port,
            )
    except TimeoutError:
        failure = CallFailure(FailureCause.CONNECT, sent=False, detail='slow')
        return Err(failure)
    except OSError as error:
        return Err(CallFailure(FailureCause.CONNECT, False, str(error)))
    finally:
        usage.opening -= 1
    return Ok(connection)


def _is_mismatched(connection: ClientConnection, response: Response) -> bool:
    """Return whether a response belongs to another request."""
    if connection.call is None or connection.call.expected_header is None:
        return False
    name, expected = connection.call.expected_header
    actual = response.fields.get(name.lower())
    if actual is None:
        # The first response on a connection belongs to its first request.
        return connection.calls > 1
    return actual != expected


def keep_alive_s(response: Response) -> float | None:
    """Return the timeout of the upstream's ``Keep-Alive`` header, if any."""
    for parameter in response.fields.get(b'keep-alive', b'').split(b','):
        name, _, seconds_text = parameter.strip().partition(b'=')
        if name.lower() == b'timeout':
            return parse_count(seconds_text)
    return None
