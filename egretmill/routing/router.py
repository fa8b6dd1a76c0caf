"""Choice of site and upstream for one request."""

import dataclasses
import random
from collections.abc import Iterator

from result import Err, Ok, Result

from egretmill.document import Environment
from egretmill.errors import ErrorKind, Failure
from egretmill.routing.decision import Decision
from egretmill.routing.policies import Policy
from egretmill.routing.sites import (
    Limits,
    SiteReader,
    SiteVerdict,
    SiteView,
    Tier,
    site_order,
    spills,
)
from egretmill.routing.upstreams import UpstreamTable
from egretmill.routing.view import UpstreamView, Verdict

__all__ = ('Router',)

#: Verdicts of sites that could take the request at another time.
SHORT = frozenset(
    (
        SiteVerdict.NO_FREE_SLOTS,
        SiteVerdict.REDUCED,
        SiteVerdict.SHIFT_CAP,
        SiteVerdict.LINK_BUDGET,
        SiteVerdict.BUSY,
    )
)
NONE_TRIED: frozenset[str] = frozenset()
SiteRow = tuple[Tier, str, str]


class Router:
    """Chooses for the entry host of one failure domain.

    :param host_domain: failure domain of this host.
    :param policy: chooses among the upstreams of a site.
    :param rng: source of all random choices.
    :param rotation: number of this host among all (its share slot). Hosts
        that see equal upstreams then begin at different ones; ``None``
        begins at a random one.
    """

    def __init__(
        self,
        table: UpstreamTable,
        host_domain: str,
        policy: Policy,
        rng: random.Random,
        rotation: int | None = None,
    ) -> None:
        self.table = table
        self.host_domain = host_domain
        self.policy = policy
        self.rng = rng
        self.rotation = rotation
        self.environment: Environment | None = None
        self.orders: dict[str, list[SiteRow]] = {}

    def choose(
        self,
        service: str,
        environment: Environment,
        limits: Limits,
        now: float,
        exclude: frozenset[str] = NONE_TRIED,
        idempotent: bool = True,
    ) -> Result[Decision, Failure]:
        """Choose a site and an upstream.

        :param exclude: names of upstreams that were tried; the choice is
            then a retry and is refused while the site of one of them sheds
            load as a whole.
        :param idempotent: the request may be the probe of an upstream that
            was left out.
        """
        if self._retry_meets_shedding(exclude, now):
            detail = 'no retry while the whole site sheds load'
            return Err(Failure(ErrorKind.UPSTREAM_SHED, detail))
        order = self._order(service, environment)
        reader = self._reader(service, environment, limits, now, exclude)
        reader = dataclasses.replace(reader, idempotent=idempotent)
        seen: list[SiteView] = []
        site = self._choose_site(order, reader, seen)
        while site is None:
            relaxed = _relaxed(reader, seen)
            if relaxed is None:
                return Err(_failure(service, seen))
            reader = relaxed
            seen.clear()
            site = self._choose_site(order, reader, seen)
        view = self._choose_upstream(service, site, now)
        decision = Decision(
            service,
            site.name,
            view.record,
            self.policy.name,
            reader.preferred,
            reader.from_region,
            site.region,
            _reasons(seen, site, view, reader),
        )
        return Ok(decision)

    def explain(
        self,
        service: str,
        environment: Environment,
        limits: Limits,
        now: float,
        exclude: frozenset[str] = NONE_TRIED,
    ) -> tuple[str, ...]:
        """Return every candidate with its verdict, then the choice.

        The state of the random numbers is left as it was.
        """
        order = self._order(service, environment)
        reader = self._reader(service, environment, limits, now, exclude)
        lines = []
        for tier, name, region in order:
            lines.extend(self._explain_site(reader, name, region, tier))
        state = self.rng.getstate()
        chosen = self.choose(service, environment, limits, now, exclude)
        self.rng.setstate(state)
        if isinstance(chosen, Err):
            failure = chosen.err_value
            return (*lines, f'refused: {failure.kind}: {failure.detail}')
        return (*lines, f'chosen: {chosen.ok_value}')

    def _order(
        self,
        service: str,
        environment: Environment,
    ) -> list[SiteRow]:
        # Computed once for each version of the document.
        if environment is not self.environment:
            self.environment = environment
            self.orders.clear()
        if service not in self.orders:
            found = site_order(environment, service, self.host_domain)
            self.orders[service] = found
        return self.orders[service]

    def _reader(
        self,
        service: str,
        environment: Environment,
        limits: Limits,
        now: float,
        exclude: frozenset[str],
    ) -> SiteReader:
        order = self._order(service, environment)
        return SiteReader(
            self.table,
            limits,
            service,
            order[0][1] if order else '',
            environment.region_of_domain(self.host_domain),
            now,
            exclude,
        )

    def _retry_meets_shedding(
        self,
        exclude: frozenset[str],
        now: float,
    ) -> bool:
        for name in exclude:
            view = self.table.views.get(name)
            if view is None:
                continue
            record = view.record
            if self.table.site_sheds(record.service, record.site, now):
                return True
        return False

    def _choose_site(
        self,
        order: list[SiteRow],
        reader: SiteReader,
        seen: list[SiteView],
    ) -> SiteView | None:
        best: SiteView | None = None
        for tier in Tier:
            if best is not None and not self._looks_on(best, tier):
                break
            found = [
                reader.read(name, region, at_tier)
                for at_tier, name, region in order
                if at_tier == tier
            ]
            seen.extend(found)
            best = self._better(best, found)
        return best

    def _looks_on(self, best: SiteView, tier: Tier) -> bool:
        # Another region costs a long round trip, so it is used only when
        # the own region is full.
        if tier == Tier.OTHER_REGION:
            return False
        return spills(best, self.rng)

    def _better(
        self,
        best: SiteView | None,
        found: list[SiteView],
    ) -> SiteView | None:
        opened = [site for site in found if site.verdict == SiteVerdict.OPEN]
        self.rng.shuffle(opened)
        if best is not None:
            opened.insert(0, best)
        return min(opened, key=lambda site: site.utilisation, default=None)

    def _choose_upstream(
        self,
        service: str,
        site: SiteView,
        now: float,
    ) -> UpstreamView:
        # A due probe goes first: it is one request, and only it can bring
        # the upstream back.
        probes = [view for view in site.views if view.health.left_out]
        flowing = [view for view in site.views if not view.stalled(now)]
        usable = set(probes or flowing or site.views)
        known = self.table.at(service, site.name)
        start = self.rotation
        if start is None:
            start = self.rng.randrange(len(known))
        start %= len(known)
        rotated = known[start:] + known[:start]
        ordered = list(filter(usable.__contains__, rotated))
        return self.policy.choose(ordered, now, self.rng)

    def _explain_site(
        self,
        reader: SiteReader,
        name: str,
        region: str,
        tier: Tier,
    ) -> Iterator[str]:
        site = reader.read(name, region, tier)
        yield (
            f'site {name} ({tier.name.lower()}): {site.verdict}, '
            + f'{site.free} free, {site.running} running, '
            + f'capacity {site.capacity}'
        )
        for view in self.table.at(reader.service, name):
            yield f'  {_explain_upstream(view, reader)}'


def _explain_upstream(view: UpstreamView, reader: SiteReader) -> str:
    verdict = view.verdict(reader.now)
    if view.record.name in reader.exclude:
        verdict = Verdict.EXCLUDED
    text = str(verdict)
    if view.drains:
        text = f'{text} ({", ".join(sorted(view.drains))})'
    return (
        f'upstream {view.record.name}: {text}, '
        + f'{view.in_flight}/{view.limit(reader.now)} own in flight, '
        + f'load {view.load(reader.now):.1f}/{view.record.slots}, '
        + f'latency {view.latency.mean_s * 1000:.1f} ms'
    )


def _reasons(
    seen: list[SiteView],
    site: SiteView,
    view: UpstreamView,
    reader: SiteReader,
) -> tuple[str, ...]:
    passed = [
        f'{other.name}: {other.verdict}, {other.running}/{other.capacity}'
        for other in seen
        if other is not site
    ]
    taken = (
        f'{site.name}: {site.running}/{site.capacity} running, '
        + f'{len(site.views)} candidates, load {view.load(reader.now):.1f}, '
        + f'latency {view.latency.mean_s * 1000:.1f} ms'
    )
    if reader.ramped:
        return (*passed, taken)
    return (*passed, taken, 'cold upstreams beyond their ramp')


def _relaxed(reader: SiteReader, seen: list[SiteView]) -> SiteReader | None:
    """Return a reader that passes over a rule, when only that rule binds."""
    verdicts = {site.verdict for site in seen}
    if reader.ramped and verdicts & {SiteVerdict.REDUCED, SiteVerdict.BUSY}:
        # A cold upstream is slow, but it serves more than a refusal.
        return dataclasses.replace(reader, ramped=False)
    if not reader.idempotent and verdicts == {SiteVerdict.NO_UPSTREAM}:
        # Every upstream was left out; one of them may have returned.
        return dataclasses.replace(reader, idempotent=True)
    return None


def _failure(service: str, seen: list[SiteView]) -> Failure:
    detail = ', '.join(f'{site.name}: {site.verdict}' for site in seen)
    verdicts = {site.verdict for site in seen}
    if verdicts & SHORT:
        return Failure(ErrorKind.OVERLOADED, detail)
    if SiteVerdict.SHEDS in verdicts:
        return Failure(ErrorKind.UPSTREAM_SHED, detail)
    detail = detail or f'no site serves {service}'
    return Failure(ErrorKind.NO_UPSTREAM, detail)
