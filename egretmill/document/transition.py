"""Rules for the transition from the document in force to a new one."""

from collections.abc import Callable, Iterator

from egretmill.document.model import Document
from egretmill.document.rules import Violation

__all__ = ('TRANSITION_RULES', 'transition_violations')

TransitionRule = Callable[[Document, Document], Iterator[Violation]]


def drained_sites(document: Document) -> frozenset[str]:
    """Return the names of the sites with a planned drain."""
    return frozenset(row.name for row in document.drains if row.kind == 'site')


def share_slots_are_unchanged(
    before: Document, after: Document
) -> Iterator[Violation]:
    """Share slots keep their number and order.

    Each slot number owns a fixed part of every total. Renumbering the slots
    would give two holders the same part until all hosts have the new
    version.
    """
    old = [
        (row.name, row.share_slots)
        for row in before.failure_domains
        if row.share_slots
    ]
    new = [
        (row.name, row.share_slots)
        for row in after.failure_domains
        if row.share_slots
    ]
    if old != new:
        shown = ', '.join(f'{name}: {count}' for name, count in new)
        old_shown = ', '.join(f'{name}: {count}' for name, count in old)
        rule = f'share slots and their order must stay {old_shown}'
        yield '$.failure_domains', shown, rule


def removed_sites_were_drained(
    before: Document,
    after: Document,
) -> Iterator[Violation]:
    """A site is removed only after a version that drains it.

    Without a drain, all traffic of the site would move at once and exceed
    the shift cap.
    """
    remaining = {row.name for row in after.sites}
    drained = drained_sites(before)
    for row in before.sites:
        if row.name not in remaining and row.name not in drained:
            yield '$.sites', row.name, 'removed without a drain before'


def moved_sites_were_drained(
    before: Document,
    after: Document,
) -> Iterator[Violation]:
    """A site moves to another failure domain only after a drain.

    The failure domain decides which share slots own the concurrency of the
    site.
    """
    old = {row.name: row.failure_domain for row in before.sites}
    drained = drained_sites(before)
    for index, row in enumerate(after.sites):
        moved = old.get(row.name, row.failure_domain) != row.failure_domain
        if moved and row.name not in drained:
            path = f'$.sites[{index}].failure_domain'
            yield path, row.failure_domain, 'moved without a drain before'


def moved_domains_have_no_sites(
    before: Document,
    after: Document,
) -> Iterator[Violation]:
    """A failure domain moves to another region only without traffic.

    The region decides which link totals the traffic counts against.
    """
    old = {row.name: row.region for row in before.failure_domains}
    drained = drained_sites(before)
    undrained_domains = {
        row.failure_domain for row in before.sites if row.name not in drained
    }
    for index, row in enumerate(after.failure_domains):
        if row.name in undrained_domains and old.get(row.name) != row.region:
            path = f'$.failure_domains[{index}].region'
            yield path, row.region, 'moved while its sites are not drained'


def services_leave_drained_sites(
    before: Document,
    after: Document,
) -> Iterator[Violation]:
    """A service is removed from a site only after a drain of the site."""
    old = {row.name: row.sites for row in before.services}
    drained = drained_sites(before)
    for index, row in enumerate(after.services):
        removed_sites = set(old.get(row.name, ())) - set(row.sites) - drained
        for site in sorted(removed_sites):
            rule = f'{row.name} leaves the site without a drain before'
            yield f'$.services[{index}].sites', site, rule


def removed_services_have_no_routes(
    before: Document,
    after: Document,
) -> Iterator[Violation]:
    """A service is removed only after a version without routes to it.

    Requests that were admitted under the version in force may still run or
    wait for the service.
    """
    remaining = {row.name for row in after.services}
    routed = {row.service for row in before.routes}
    for row in before.services:
        if row.name not in remaining and row.name in routed:
            rule = 'removed while routes lead to it; remove the routes before'
            yield '$.services', row.name, rule


def keys_stay_with_their_account(
    before: Document,
    after: Document,
) -> Iterator[Violation]:
    """A key never moves to another client account.

    During the rollout, some hosts would handle its requests for the old
    account and some for the new one.
    """
    owners = {
        key.digest: account.name
        for account in before.accounts
        for key in account.keys
    }
    for index, account in enumerate(after.accounts):
        for position, key in enumerate(account.keys):
            owner = owners.get(key.digest, account.name)
            if owner != account.name:
                path = f'$.accounts[{index}].keys[{position}].digest'
                rule = f'granted to {owner}; withdraw it there before'
                yield path, key.digest, rule


def lease_times_are_compatible(
    before: Document, after: Document
) -> Iterator[Violation]:
    """The lease duration stays, and loans do not get shorter.

    Hosts on both versions must agree when a lease has expired, and a
    restarted host waits for the longest loan that it may have granted.
    """
    if after.quota.lease_s != before.quota.lease_s:
        rule = f'must stay {before.quota.lease_s}'
        yield '$.quota.lease_s', str(after.quota.lease_s), rule
    if after.quota.loan_s < before.quota.loan_s:
        rule = f'must not be below {before.quota.loan_s}'
        yield '$.quota.loan_s', str(after.quota.loan_s), rule


#: All rules, in the order in which violations are reported.
TRANSITION_RULES: tuple[TransitionRule, ...] = (
    share_slots_are_unchanged,
    removed_sites_were_drained,
    moved_sites_were_drained,
    moved_domains_have_no_sites,
    services_leave_drained_sites,
    removed_services_have_no_routes,
    keys_stay_with_their_account,
    lease_times_are_compatible,
)


def transition_violations(
    before: Document,
    after: Document,
) -> Iterator[Violation]:
    """Yield the violations of all rules."""
    for rule in TRANSITION_RULES:
        yield from rule(before, after)
