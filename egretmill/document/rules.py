"""Validation rules that span several records of a document."""

from collections.abc import Callable, Iterable, Iterator

from egretmill.accounts import digest_key
from egretmill.document.model import Document
from egretmill.settings.problems import Violation

__all__ = ('RULES', 'Violation', 'violations')

RESERVED_SEGMENTS = frozenset(('', '.', '..'))
EMPTY_KEY_DIGEST = digest_key('')


def _duplicates(table: str, names: Iterable[str]) -> Iterator[Violation]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield f'$.{table}[{index}].name', name, 'names must be unique'
        seen.add(name)


def unique_names(document: Document) -> Iterator[Violation]:
    """Names are unique within each table."""
    yield from _duplicates('regions', (row.name for row in document.regions))
    yield from _duplicates(
        'failure_domains',
        (row.name for row in document.failure_domains),
    )
    yield from _duplicates('sites', (row.name for row in document.sites))
    yield from _duplicates('services', (row.name for row in document.services))
    yield from _duplicates('accounts', (row.name for row in document.accounts))


def domains_have_regions(document: Document) -> Iterator[Violation]:
    """Each failure domain names a declared region."""
    known = {row.name for row in document.regions}
    for index, row in enumerate(document.failure_domains):
        if row.region not in known:
            path = f'$.failure_domains[{index}].region'
            yield path, row.region, 'no such region'


def sites_have_domains(document: Document) -> Iterator[Violation]:
    """Each site names a declared failure domain."""
    known = {row.name for row in document.failure_domains}
    for index, row in enumerate(document.sites):
        if row.failure_domain not in known:
            path = f'$.sites[{index}].failure_domain'
            yield path, row.failure_domain, 'no such failure domain'


def services_have_sites(document: Document) -> Iterator[Violation]:
    """Each service names declared sites."""
    known = {row.name for row in document.sites}
    for index, row in enumerate(document.services):
        for position, site in enumerate(row.sites):
            if site not in known:
                path = f'$.services[{index}].sites[{position}]'
                yield path, site, 'no such site'
            elif site in row.sites[:position]:
                path = f'$.services[{index}].sites[{position}]'
                yield path, site, 'named twice'


def routes_have_services(document: Document) -> Iterator[Violation]:
    """Each route names a declared service."""
    known = {row.name for row in document.services}
    for index, row in enumerate(document.routes):
        if row.service not in known:
            yield f'$.routes[{index}].service', row.service, 'no such service'


def routes_are_distinct(document: Document) -> Iterator[Violation]:
    """Each combination of path and method has one route.

    ``/rota`` and ``/rota/`` match the same requests.
    """
    seen: set[tuple[str, str]] = set()
    for index, row in enumerate(document.routes):
        for method in row.methods:
            covered = row.path.rstrip('/'), method
            if covered in seen:
                path = f'$.routes[{index}].path'
                yield path, f'{method} {row.path}', 'routed twice'
            seen.add(covered)


def route_paths_are_plain(document: Document) -> Iterator[Violation]:
    """Route paths have no segment that clients and proxies rewrite."""
    for index, row in enumerate(document.routes):
        segments = row.path.strip('/').split('/')
        if row.path.strip('/') and RESERVED_SEGMENTS.intersection(segments):
            rule = 'must not contain empty segments, "." or ".."'
            yield f'$.routes[{index}].path', row.path, rule


def links_join_regions(document: Document) -> Iterator[Violation]:
    """Each link joins two different declared regions."""
    known = {row.name for row in document.regions}
    for index, row in enumerate(document.links):
        first, second = row.regions
        region_names = f'{first}, {second}'
        if first == second:
            yield (
                f'$.links[{index}].regions',
                region_names,
                'regions must differ',
            )
        if first not in known or second not in known:
            yield f'$.links[{index}].regions', region_names, 'no such region'


def links_are_unique(document: Document) -> Iterator[Violation]:
    """A pair of regions has at most one link, whatever its order."""
    seen: set[frozenset[str]] = set()
    for index, row in enumerate(document.links):
        pair = frozenset(row.regions)
        if pair in seen:
            region_names = ', '.join(row.regions)
            yield f'$.links[{index}].regions', region_names, 'linked twice'
        seen.add(pair)


def digests_are_unique(document: Document) -> Iterator[Violation]:
    """A key belongs to one client account."""
    seen: set[str] = set()
    for index, account in enumerate(document.accounts):
        for position, key in enumerate(account.keys):
            if key.digest in seen:
                path = f'$.accounts[{index}].keys[{position}].digest'
                yield path, key.digest, 'digest granted twice'
            seen.add(key.digest)


def digests_are_of_keys(document: Document) -> Iterator[Violation]:
    """No digest is that of an empty key, a misuse of ``key digest``."""
    for index, account in enumerate(document.accounts):
        for position, key in enumerate(account.keys):
            if key.digest == EMPTY_KEY_DIGEST:
                path = f'$.accounts[{index}].keys[{position}].digest'
                yield path, key.digest, 'this is the digest of an empty key'


def drains_are_known(document: Document) -> Iterator[Violation]:
    """A drained site is declared, and nothing is drained twice.

    Upstreams and entry hosts come from the host list and are not checked.
    """
    sites = {row.name for row in document.sites}
    seen: set[tuple[str, str]] = set()
    for index, row in enumerate(document.drains):
        path = f'$.drains[{index}].name'
        if row.kind == 'site' and row.name not in sites:
            yield path, row.name, 'no such site'
        if (row.kind, row.name) in seen:
            yield path, f'{row.kind} {row.name}', 'drained twice'
        seen.add((row.kind, row.name))


def loans_end_before_leases(document: Document) -> Iterator[Violation]:
    """A loan is shorter than the lease of the slot that lends it."""
    quota = document.quota
    if quota.loan_s >= quota.lease_s:
        rule = f'must be below quota.lease_s, {quota.lease_s}'
        yield '$.quota.loan_s', str(quota.loan_s), rule


def slots_exist(document: Document) -> Iterator[Violation]:
    """At least one share slot exists."""
    if sum(row.share_slots for row in document.failure_domains) < 1:
        yield '$.failure_domains', '0', 'at least one share slot is needed'


#: All rules, in the order in which problems are reported.
RULES: tuple[Callable[[Document], Iterator[Violation]], ...] = (
    unique_names,
    domains_have_regions,
    sites_have_domains,
    services_have_sites,
    routes_have_services,
    routes_are_distinct,
    route_paths_are_plain,
    links_join_regions,
    links_are_unique,
    digests_are_unique,
    digests_are_of_keys,
    drains_are_known,
    loans_end_before_leases,
    slots_exist,
)


def violations(document: Document) -> Iterator[Violation]:
    """Yield the violations of all rules."""
    for rule in RULES:
        yield from rule(document)
