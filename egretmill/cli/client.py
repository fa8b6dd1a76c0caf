"""Client of the agents' operations ports."""

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

from egretmill.agent.operations import JSON_TYPE
from egretmill.errors import ErrorKind, Failure, Outcome
from egretmill.settings import Problem

__all__ = ('TOKEN_VARIABLE', 'AgentClient')

AnswerT = TypeVar('AnswerT')
#: Environment variable with the operators' token. It is no option because
#: other users of the machine can read the options of a process.
TOKEN_VARIABLE = 'EGRETMILL_OPERATIONS_TOKEN'
URL_PATTERN = re.compile(r'https?://[^\s/?#]+/?')
CONNECT_TIMEOUT_S = 2.0
# Above the limit of a promotion in the agent (8 s and one platform call).
REQUEST_TIMEOUT_S = 12.0
HTTP_OK = 200
#: Failures after which another agent may do better.
TRY_NEXT = frozenset(
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
    """Calls the first agent of a list that can answer.

    ``unsettled`` tells whether an agent of the last call may have carried
    it out without an answer that says so.
    """

    def __init__(self, urls: tuple[str, ...], token: str) -> None:
        """Keep the base URLs and the operators' token, which may be empty."""
        self.urls = urls
        self.token = token
        self.unsettled = False

    @classmethod
    def from_urls(
        cls,
        urls: Iterable[str],
    ) -> Result['AgentClient', list[Problem]]:
        """Check the URLs and take the token from the environment."""
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
        """Read a resource."""
        return asyncio.run(self.call(path, {'method': 'GET'}))

    def post(
        self,
        path: str,
        body: bytes,
        content_type: str,
    ) -> Result[HTTPResponse, Failure]:
        """Send a body."""
        headers = {'Content-Type': content_type}
        content = {'method': 'POST', 'body': body, 'headers': headers}
        return asyncio.run(self.call(path, content))

    def post_json(
        self,
        path: str,
        body: Mapping[str, Any],
        kind: type[AnswerT],
    ) -> Result[AnswerT, Failure]:
        """Send a JSON body and decode the JSON answer."""
        answer = self.post(path, msgspec.json.encode(body), JSON_TYPE)
        return answer.and_then(lambda response: decode(response, kind))

    def get_json(
        self,
        path: str,
        kind: type[AnswerT],
    ) -> Result[AnswerT, Failure]:
        """Read a JSON resource."""
        answer = self.get(path)
        return answer.and_then(lambda response: decode(response, kind))

    async def call(
        self,
        path: str,
        content: Mapping[str, Any],
    ) -> Result[HTTPResponse, Failure]:
        """Try the agents in order and return the first usable answer.

        When none is usable, the failure lists what each of them said. Its
        kind is ``promotion_unknown`` if any agent may have carried out a
        promotion.
        """
        failures: list[Failure] = []
        self.unsettled = False
        client = AsyncHTTPClient(force_instance=True)
        for url in self.urls:
            # In order: a later agent is asked only when an earlier failed.
            request = self.request(url + path, content)
            answer = await self.fetch(client, request)  # noqa: WPS476
            match answer:
                case Err(failure) if failure.kind in TRY_NEXT:
                    failures.append(failure)
                case _:
                    return answer
        return Err(combined(failures))

    def request(self, url: str, content: Mapping[str, Any]) -> HTTPRequest:
        """Return a request with the operators' token and deadlines."""
        request = HTTPRequest(
            url,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            **content,
        )
        if self.token:
            request.headers['Authorization'] = f'Bearer {self.token}'
        return request

    async def fetch(
        self,
        client: AsyncHTTPClient,
        request: HTTPRequest,
    ) -> Result[HTTPResponse, Failure]:
        """Call one agent."""
        try:
            response = await client.fetch(request, raise_error=False)
        except ConnectionRefusedError as refused:
            return Err(unreachable(request, refused))
        except (HTTPClientError, OSError) as error:
            self.unsettled = True
            return Err(unreachable(request, error))
        if response.code == HTTP_OK:
            return Ok(response)
        failure = failure_of(request.url, response)
        self.unsettled |= failure.answer.outcome is Outcome.UNKNOWN
        return Err(failure)


def unreachable(request: HTTPRequest, error: Exception) -> Failure:
    """Return the failure of a call without an answer."""
    address, _, _ = request.url.partition('?')
    return Failure(ErrorKind.PEER_UNREACHABLE, f'{address}: {error}')


def combined(failures: list[Failure]) -> Failure:
    """Return one failure for all agents that were tried."""
    kinds = [failure.kind for failure in failures]
    kind = kinds[-1]
    if ErrorKind.PROMOTION_UNKNOWN in kinds:
        kind = ErrorKind.PROMOTION_UNKNOWN
    return Failure(kind, '\n'.join(failure.detail for failure in failures))


def failure_of(url: str, response: HTTPResponse) -> Failure:
    """Return the failure that an error answer reports."""
    try:
        body = msgspec.json.decode(response.body, type=ErrorBody)
    except msgspec.DecodeError:
        body = ErrorBody('', f'{response.code} {response.reason}')
    if body.error in list(ErrorKind):
        return Failure(ErrorKind(body.error), body.detail)
    return Failure(ErrorKind.INTERNAL, f'{url}: {body.error} {body.detail}')


def decode(
    response: HTTPResponse,
    kind: type[AnswerT],
) -> Result[AnswerT, Failure]:
    """Decode a JSON answer."""
    try:
        return Ok(msgspec.json.decode(response.body, type=kind))
    except msgspec.DecodeError as error:
        detail = f'{response.effective_url}: {error}'
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, detail))
