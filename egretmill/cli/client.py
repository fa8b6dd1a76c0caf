"""HTTP client of the agents' operations ports."""

import asyncio
import os
import re
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from egretmill.decoding import DECODE_ERRORS
from egretmill.agent.operations import JSON_TYPE
from egretmill.errors import ErrorKind, Failure, Outcome
from egretmill.settings import Problem

__all__ = ('TOKEN_VARIABLE', 'AgentClient')

AnswerT = TypeVar('AnswerT')
#: Environment variable with the operators' token. It is not an option, as
#: other users of the machine can read the options of a process.
TOKEN_VARIABLE = 'EGRETMILL_OPERATIONS_TOKEN'
URL_PATTERN = re.compile(r'https?://[^\s/?#]+/?')
CONNECT_TIMEOUT_S = 2.0
# Above the time limit of a promotion in the agent (8 s and a platform call).
REQUEST_TIMEOUT_S = 12.0
HTTP_OK = 200
#: Failures after which the next agent is tried.
FAILOVER_KINDS = frozenset(
    (
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.PLATFORM_UNAVAILABLE,
        ErrorKind.PROMOTION_UNKNOWN,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.NOT_READY,
        ErrorKind.INTERNAL,
    ),
)


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an answer other than 200."""

    error: str
    detail: str = ''


class AgentClient:
    """Calls agents in order until one gives a usable answer.

    ``has_unknown_outcome`` is set if an agent may have carried out the last
    call without confirming it.
    """

    def __init__(self, urls: tuple[str, ...], token: str) -> None:
        """Use base URLs and the operators' token, which may be empty."""
        self.urls = urls
        self.token = token
        self.has_unknown_outcome = False

    @classmethod
    def from_urls(
        cls,
        urls: Iterable[str],
    ) -> Result['AgentClient', list[Problem]]:
        """Validate the URLs and read the token from the environment."""
        rule = 'must be http://ADDRESS:PORT'
        problems = [
            Problem('--agent', '$', url, rule)
            for url in urls
            if not URL_PATTERN.fullmatch(url)
        ]
        if problems:
            return Err(problems)
        stripped = tuple(url.rstrip('/') for url in urls)
        return Ok(cls(stripped, os.environ.get(TOKEN_VARIABLE, '')))

    def get(self, path: str) -> Result[HTTPResponse, Failure]:
        """Send a GET request."""
        return asyncio.run(self.call_any(path, {'method': 'GET'}))

    def post(
        self,
        path: str,
        body: bytes,
        content_type: str,
    ) -> Result[HTTPResponse, Failure]:
        """Send a POST request with a body."""
        headers = {'Content-Type': content_type}
        content = {'method': 'POST', 'body': body, 'headers': headers}
        return asyncio.run(self.call_any(path, content))

    def post_json(
        self,
        path: str,
        body: Mapping[str, Any],
        kind: type[AnswerT],
    ) -> Result[AnswerT, Failure]:
        """Send a POST request with a JSON body; decode the JSON answer."""
        answer = self.post(path, msgspec.json.encode(body), JSON_TYPE)
        return answer.and_then(lambda response: decode_answer(response, kind))

    def get_json(
        self,
        path: str,
        kind: type[AnswerT],
    ) -> Result[AnswerT, Failure]:
        """Send a GET request and decode the JSON answer."""
        answer = self.get(path)
        return answer.and_then(lambda response: decode_answer(response, kind))

    async def call_any(
        self,
        path: str,
        content: Mapping[str, Any],
    ) -> Result[HTTPResponse, Failure]:
        """Call the agents in order and return the first usable answer.

        If there is none, the failure lists the details of all of them. Its
        kind is ``promotion_unknown`` if any agent may have carried out a
        promotion.
        """
        failures: list[Failure] = []
        self.has_unknown_outcome = False
        client = AsyncHTTPClient(force_instance=True)
        for url in self.urls:
            # Sequential: the next agent is called only if this one fails.
            request = self.make_request(url + path, content)
            answer = await self.call_agent(client, request)  # noqa: WPS476
            match answer:
                case Err(failure) if failure.kind in FAILOVER_KINDS:
                    failures.append(failure)
                case _:
                    return answer
        return Err(combine_failures(failures))

    def make_request(self, url: str, content: Mapping[str, Any]) -> HTTPRequest:
        """Return a request with the operators' token and timeouts."""
        request = HTTPRequest(
            url,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            **content,
        )
        if self.token:
            request.headers['Authorization'] = f'Bearer {self.token}'
        return request

    async def call_agent(
        self,
        client: AsyncHTTPClient,
        request: HTTPRequest,
    ) -> Result[HTTPResponse, Failure]:
        """Call one agent."""
        try:
            response = await client.fetch(request, raise_error=False)
        except ConnectionRefusedError as refused:
            return Err(unreachable_failure(request, refused))
        except (HTTPClientError, OSError) as error:
            self.has_unknown_outcome = True
            return Err(unreachable_failure(request, error))
        if response.code == HTTP_OK:
            return Ok(response)
        failure = decode_failure(request.url, response)
        self.has_unknown_outcome |= failure.answer.outcome is Outcome.UNKNOWN
        return Err(failure)


def unreachable_failure(request: HTTPRequest, error: Exception) -> Failure:
    """Return the failure of a call without an answer."""
    address, _, _ = request.url.partition('?')
    return Failure(ErrorKind.PEER_UNREACHABLE, f'{address}: {error}')


def combine_failures(failures: list[Failure]) -> Failure:
    """Return one failure for all agents that were tried."""
    kinds = [failure.kind for failure in failures]
    kind = kinds[-1]
    if ErrorKind.PROMOTION_UNKNOWN in kinds:
        kind = ErrorKind.PROMOTION_UNKNOWN
    return Failure(kind, '\n'.join(failure.detail for failure in failures))


def decode_failure(url: str, response: HTTPResponse) -> Failure:
    """Decode an error answer into a failure."""
    try:
        body = msgspec.json.decode(response.body, type=ErrorBody)
    except DECODE_ERRORS:
        body = ErrorBody('', f'{response.code} {response.reason}')
    if body.error in list(ErrorKind):
        return Failure(ErrorKind(body.error), body.detail)
    return Failure(ErrorKind.INTERNAL, f'{url}: {body.error} {body.detail}')


def decode_answer(
    response: HTTPResponse,
    kind: type[AnswerT],
) -> Result[AnswerT, Failure]:
    """Decode a JSON answer."""
    try:
        return Ok(msgspec.json.decode(response.body, type=kind))
    except DECODE_ERRORS as error:
        detail = f'{response.effective_url}: {error}'
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, detail))
