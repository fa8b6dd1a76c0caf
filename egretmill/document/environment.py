"""Indexed, immutable form of a document for lookups at run time."""

import dataclasses
import functools
import pathlib
from collections.abc import Mapping

import xxhash
from result import Err, Ok, Result

from egretmill.accounts import digest_key
from egretmill.document import rules
from egretmill.document.model import (
    ClientAccount,
    Document,
    FailureDomain,
    Route,
    Service,
    Site,
)
from egretmill.errors import ErrorKind, Failure
from egretmill.settings import Problem, decode_toml

__all__ = ('Environment', 'body_digest', 'load_document')


def body_digest(body: bytes) -> str:
    """Return the digest that is the object store's name of a body."""
    return f'xxh3:{xxhash.xxh3_128_hexdigest(body)}'


@dataclasses.dataclass(frozen=True)
class Environment:
    """One version of the environment document, indexed.

    :param document: the validated model.
    :param body: the exact bytes of the TOML file.
    :param version: promoted version number, 0 for an unpromoted file.
    """

    document: Document
    body: bytes
    version: int = 0

    @classmethod
    def from_bytes(
        cls,
        body: bytes,
        file_name: str = 'document',
        version: int = 0,
    ) -> Result['Environment', list[Problem]]:
        """Decode, validate and index a document."""
        decoded = decode_toml(body, Document, file_name)
        if isinstance(decoded, Err):
            return decoded
        document = decoded.ok_value
        problems = [
            Problem(file_name, path, shown, rule)
            for path, shown, rule in rules.violations(document)
        ]
        if problems:
            return Err(problems)
        return Ok(cls(document, body, version))

    @functools.cached_property
    def digest(self) -> str:
        """Return the digest of the exact bytes of the file."""
        return body_digest(self.body)

    @functools.cached_property
    def accounts(self) -> Mapping[str, ClientAccount]:
        """Return client accounts by name."""
        return {row.name: row for row in self.document.accounts}

    @functools.cached_property
    def account_by_digest(self) -> Mapping[str, ClientAccount]:
        """Return client accounts by key digest."""
        return {
            key.digest: row
            for row in self.document.accounts
            for key in row.keys
        }

    @functools.cached_property
    def services(self) -> Mapping[str, Service]:
        """Return services by name."""
        return {row.name: row for row in self.document.services}

    @functools.cached_property
    def sites(self) -> Mapping[str, Site]:
        """Return sites by name."""
        return {row.name: row for row in self.document.sites}

    @functools.cached_property
    def failure_domains(self) -> Mapping[str, FailureDomain]:
        """Return failure domains by name."""
        return {row.name: row for row in self.document.failure_domains}

    @functools.cached_property
    def routes(self) -> tuple[Route, ...]:
        """Return routes, longest path first."""
        return tuple(
            sorted(
                self.document.routes,
                key=lambda route: len(route.path),
                reverse=True,
            ),
        )

    @functools.cached_property
    def drained(self) -> frozenset[tuple[str, str]]:
        """Return ``(kind, name)`` of all planned drains."""
        return frozenset((row.kind, row.name) for row in self.document.drains)

    @functools.cached_property
    def share_slots(self) -> int:
        """Return the number of share slots of the whole fleet."""
        return sum(row.share_slots for row in self.document.failure_domains)

    def region_of_domain(self, domain: str) -> str:
        """Return the region of a failure domain, empty if it is unknown."""
        failure_domain = self.failure_domains.get(domain)
        return failure_domain.region if failure_domain else ''

    def region_of_site(self, site: str) -> str:
        """Return the region of a declared site."""
        return self.region_of_domain(self.sites[site].failure_domain)

    def route_for(self, method: str, path: str) -> Result[Route, Failure]:
        """Return the route with the longest matching path.

        A path matches whole segments: ``/rota`` matches ``/rota/1`` but
        not ``/rotations``.
        """
        path_matched = False
        for route in self.routes:
            if not _path_matches(route.path, path):
                continue
            if method in route.methods:
                return Ok(route)
            path_matched = True
        if path_matched:
            return Err(Failure(ErrorKind.METHOD_NOT_ALLOWED, method))
        return Err(Failure(ErrorKind.UNKNOWN_ROUTE, path))

    def account_for(self, key: str | None) -> Result[ClientAccount, Failure]:
        """Return the client account of an API key."""
        if not key:
            return Err(Failure(ErrorKind.MISSING_KEY, 'send X-Api-Key'))
        account = self.account_by_digest.get(digest_key(key))
        if account is None:
            return Err(Failure(ErrorKind.UNKNOWN_KEY, 'not granted'))
        return Ok(account)


def _path_matches(prefix: str, path: str) -> bool:
    if path == prefix or prefix == '/':
        return True
    return path.startswith(prefix.rstrip('/') + '/')


def load_document(path: pathlib.Path) -> Result[Environment, list[Problem]]:
    """Read, validate and index a document file."""
    try:
        body = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        return Err([Problem(str(path), '$', '(file)', reason)])
    return Environment.from_bytes(body, str(path))
