"""Rules that span several tables of a document."""

from collections.abc import Callable, Iterable, Iterator

from egretmill.document.model import Document

__all__ = ('RULES', 'Violation', 'violations')

#: Path within the document, offending value and rule.
Violation = tuple[str, str, str]


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


def routes_have_services(document: Document) -> Iterator[Violation]:
    """Each route names a declared service."""
    known = {row.name for row in document.services}
    for index, row in enumerate(document.routes):
        if row.service not in known:
            yield f'$.routes[{index}].service', row.service, 'no such service'


def routes_are_distinct(document: Document) -> Iterator[Violation]:
    """A path and method lead to one route."""
    seen: set[tuple[str, str]] = set()
    for index, row in enumerate(document.routes):
        for method in row.methods:
            if (row.path, method) in seen:
                path = f'$.routes[{index}].path'
                yield path, f'{method} {row.path}', 'routed twice'
            seen.add((row.path, method))


def links_join_regions(document: Document) -> Iterator[Violation]:
    """Each link joins two different declared regions."""
    known = {row.name for row in document.regions}
    for index, row in enumerate(document.links):
        first, second = row.regions
        shown = f'{first}, {second}'
        if first == second:
            yield f'$.links[{index}].regions', shown, 'regions must differ'
        if first not in known or second not in known:
            yield f'$.links[{index}].regions', shown, 'no such region'


def digests_are_unique(document: Document) -> Iterator[Violation]:
    """A key belongs to one client account."""
    seen: set[str] = set()
    for index, account in enumerate(document.accounts):
        for position, key in enumerate(account.keys):
            if key.digest in seen:
                path = f'$.accounts[{index}].keys[{position}].digest'
                yield path, key.digest, 'digest granted twice'
            seen.add(key.digest)


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
    links_join_regions,
    digests_are_unique,
    slots_exist,
)


def violations(document: Document) -> Iterator[Violation]:
    """Yield the violations of all rules."""
    for rule in RULES:
        yield from rule(document)
