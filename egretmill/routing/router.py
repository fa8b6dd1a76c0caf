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
    SiteEvaluator,
    SiteStatus,
    SiteView,
    Tier,
    site_order,
    should_spill_over,
)
from egretmill.routing.upstreams import UpstreamTable
from egretmill.routing.view import UpstreamStatus, UpstreamView

__all__ = ('Router',)

#: Statuses of sites that only lack capacity or budget for now.
CAPACITY_STATUSES = frozenset(
    (
        SiteStatus.NO_FREE_SLOTS,
        SiteStatus.NO_REDUCED_CAPACITY,
        SiteStatus.SHIFT_CAP,
        SiteStatus.LINK_BUDGET,
        SiteStatus.AT_LIMIT,
    )
)
NONE_TRIED: frozenset[str] = frozenset()
SiteEntry = tuple[Tier, str, str]


class Router:
    """Chooses site and upstream for an entry host of a failure domain.

    :param host_domain: failure domain of this host.
    :param policy: chooses among the upstreams of a site.
    :param rng: source of all random choices.
    :param rotation: index of this host's share slot, by which it rotates the
        list of upstreams. Hosts that see equal loads then choose different
        upstreams; ``None`` rotates by a random number.
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
        self.site_orders: dict[str, list[SiteEntry]] = {}

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

        :param exclude: names of upstreams that were already tried. The
            choice is then a retry, which is refused while the whole site of
            one of them sheds load.
        :param idempotent: the request may run twice, so it may probe an
            ejected upstream as soon as the backoff ends.
        """
        if self._is_retry_at_shedding_site(exclude, now):
            detail = 'no retry while the whole site sheds load'
            return Err(Failure(ErrorKind.UPSTREAM_SHED, detail))
        order = self._site_order(service, environment)
        evaluator = self._make_evaluator(
            service, environment, limits, now, exclude
        )
        evaluator = dataclasses.replace(evaluator, idempotent=idempotent)
        considered: list[SiteView] = []
        site = self._choose_site(order, evaluator, considered)
        while site is None:
            relaxed = _relax(evaluator, considered)
            if relaxed is None:
                return Err(_make_failure(service, considered))
            evaluator = relaxed
            considered.clear()
            site = self._choose_site(order, evaluator, considered)
        view = self._choose_upstream(service, site, now)
        decision = Decision(
            service,
            site.name,
            view.record,
            self.policy.name,
            evaluator.preferred,
            evaluator.from_region,
            site.region,
            _reasons(considered, site, view, evaluator),
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
        """Return every candidate with its status, then the choice.

        The state of the random number generator is restored.
        """
        order = self._site_order(service, environment)
        evaluator = self._make_evaluator(
            service, environment, limits, now, exclude
        )
        lines = []
        for tier, name, region in order:
            lines.extend(self._explain_site(evaluator, name, region, tier))
        state = self.rng.getstate()
        chosen = self.choose(service, environment, limits, now, exclude)
        self.rng.setstate(state)
        if isinstance(chosen, Err):
            failure = chosen.err_value
            return (*lines, f'refused: {failure.kind}: {failure.detail}')
        return (*lines, f'chosen: {chosen.ok_value}')

    def _site_order(
        self,
        service: str,
        environment: Environment,
    ) -> list[SiteEntry]:
        # Cached for each version of the document.
        if environment is not self.environment:
            self.environment = environment
            self.site_orders.clear()
        if service not in self.site_orders:
            found = site_order(environment, service, self.host_domain)
            self.site_orders[service] = found
        return self.site_orders[service]

    def _make_evaluator(
        self,
        service: str,
        environment: Environment,
        limits: Limits,
        now: float,
        exclude: frozenset[str],
    ) -> SiteEvaluator:
        order = self._site_order(service, environment)
        return SiteEvaluator(
            self.table,
            limits,
            service,
            order[0][1] if order else '',
            environment.region_of_domain(self.host_domain),
            now,
            exclude,
        )

    def _is_retry_at_shedding_site(
        self,
        exclude: frozenset[str],
        now: float,
    ) -> bool:
        for name in exclude:
            view = self.table.views.get(name)
            if view is None:
                continue
            record = view.record
            if self.table.is_site_shedding(record.service, record.site, now):
                return True
        return False

    def _choose_site(
        self,
        order: list[SiteEntry],
        evaluator: SiteEvaluator,
        considered: list[SiteView],
    ) -> SiteView | None:
        best: SiteView | None = None
        for tier in Tier:
            if best is not None and not self._considers_tier(best, tier):
                break
            found = [
                evaluator.evaluate(name, region, at_tier)
                for at_tier, name, region in order
                if at_tier == tier
            ]
            considered.extend(found)
            best = self._least_used(best, found)
        return best

    def _considers_tier(self, best: SiteView, tier: Tier) -> bool:
        # Another region adds a long round trip, so it is used only when no
        # site in the own region can take the request.
        if tier == Tier.OTHER_REGION:
            return False
        return should_spill_over(best, self.rng)

    def _least_used(
        self,
        best: SiteView | None,
        found: list[SiteView],
    ) -> SiteView | None:
        open_sites = [site for site in found if site.status == SiteStatus.OPEN]
        self.rng.shuffle(open_sites)
        if best is not None:
            open_sites.insert(0, best)
        return min(open_sites, key=lambda site: site.utilisation, default=None)

    def _choose_upstream(
        self,
        service: str,
        site: SiteView,
        now: float,
    ) -> UpstreamView:
        # A due probe has priority: it costs one request, and without it the
        # upstream stays ejected.
        probes = [view for view in site.views if view.health.is_ejected]
        responsive = [view for view in site.views if not view.is_stalled(now)]
        eligible = set(probes or responsive or site.views)
        upstreams = self.table.upstreams_at(service, site.name)
        start = self.rotation
        if start is None:
            start = self.rng.randrange(len(upstreams))
        start %= len(upstreams)
        rotated = upstreams[start:] + upstreams[:start]
        ordered = list(filter(eligible.__contains__, rotated))
        return self.policy.choose(ordered, now, self.rng)

    def _explain_site(
        self,
        evaluator: SiteEvaluator,
        name: str,
        region: str,
        tier: Tier,
    ) -> Iterator[str]:
        site = evaluator.evaluate(name, region, tier)
        yield (
            f'site {name} ({tier.name.lower()}): {site.status}, '
            + f'{site.free} free, {site.running} running, '
            + f'capacity {site.capacity}'
        )
        for view in self.table.upstreams_at(evaluator.service, name):
            yield f'  {_explain_upstream(view, evaluator)}'


def _explain_upstream(view: UpstreamView, evaluator: SiteEvaluator) -> str:
    status = view.status(evaluator.now)
    if view.record.name in evaluator.exclude:
        status = UpstreamStatus.EXCLUDED
    text = str(status)
    if view.drains:
        text = f'{text} ({", ".join(sorted(view.drains))})'
    return (
        f'upstream {view.record.name}: {text}, '
        + f'{view.in_flight}/{view.max_requests(evaluator.now)} own in flight, '
        + f'load {view.load(evaluator.now):.1f}/{view.record.slots}, '
        + f'latency {view.latency.mean_s * 1000:.1f} ms'
    )


def _reasons(
    considered: list[SiteView],
    site: SiteView,
    view: UpstreamView,
    evaluator: SiteEvaluator,
) -> tuple[str, ...]:
    rejected = [
        f'{other.name}: {other.status}, {other.running}/{other.capacity}'
        for other in considered
        if other is not site
    ]
    selected = (
        f'{site.name}: {site.running}/{site.capacity} running, '
        + f'{len(site.views)} candidates, load {view.load(evaluator.now):.1f}, '
        + f'latency {view.latency.mean_s * 1000:.1f} ms'
    )
    if evaluator.with_slow_start:
        return (*rejected, selected)
    return (*rejected, selected, 'cold upstreams beyond their ramp')


def _relax(
    evaluator: SiteEvaluator, considered: list[SiteView]
) -> SiteEvaluator | None:
    """Return an evaluator without the one rule that rules out all sites."""
    statuses = {site.status for site in considered}
    if evaluator.with_slow_start and statuses & {
        SiteStatus.NO_REDUCED_CAPACITY,
        SiteStatus.AT_LIMIT,
    }:
        # A slow response of a cold upstream is better than a refusal.
        return dataclasses.replace(evaluator, with_slow_start=False)
    if not evaluator.idempotent and statuses == {SiteStatus.NO_UPSTREAM}:
        # All upstreams are ejected; one of them may have recovered.
        return dataclasses.replace(evaluator, idempotent=True)
    return None


def _make_failure(service: str, considered: list[SiteView]) -> Failure:
    detail = ', '.join(f'{site.name}: {site.status}' for site in considered)
    statuses = {site.status for site in considered}
    if statuses & CAPACITY_STATUSES:
        return Failure(ErrorKind.OVERLOADED, detail)
    if SiteStatus.SHEDDING in statuses:
        return Failure(ErrorKind.UPSTREAM_SHED, detail)
    detail = detail or f'no site serves {service}'
    return Failure(ErrorKind.NO_UPSTREAM, detail)
