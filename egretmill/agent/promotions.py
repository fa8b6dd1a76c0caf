"""Promotions through this agent, tracked by the confirmation of versions."""

from collections.abc import Callable

from result import Err, Result

from egretmill.agent.state import AgentState
from egretmill.document.promotion import (
    CurrentVersion,
    PlatformStore,
    Promoted,
    Promoter,
)
from egretmill.errors import ErrorKind, Failure

__all__ = ('TrackedPromoter',)


class TrackedPromoter(Promoter):
    """Marks promotions as pending until their outcome is known.

    While one is pending, peers must not conclude that nothing was promoted
    from the fact that this host does not reach the platform. For the same
    reason only holders of a share slot promote, as all hosts know them.
    """

    def __init__(
        self,
        store: PlatformStore,
        state: AgentState,
        can_promote: Callable[[], bool],
    ) -> None:
        """Promote through a store for an agent.

        :param can_promote: returns whether this host may promote.
        """
        super().__init__(
            store,
            state.settings.name,
            state.now,
            lambda: state.environment,
        )
        self.confirmation = state.confirmation
        self.can_promote = can_promote
        self.unknown_outcomes = 0

    async def promote(
        self,
        body: bytes,
        expected_version: int,
        attempt_id: str,
        operator: str,
    ) -> Result[Promoted, Failure]:
        """Promote; an unknown outcome is pending until the next read."""
        if not self.can_promote():
            detail = 'this host holds no share slot; use the agent of another'
            return Err(Failure(ErrorKind.NOT_READY, detail))
        self.confirmation.begin_promotion()
        promoted = await super().promote(
            body,
            expected_version,
            attempt_id,
            operator,
        )
        if has_unknown_outcome(promoted):
            self.unknown_outcomes += 1
            return promoted
        self.confirmation.end_promotion()
        return promoted

    async def fetch_current(self) -> Result[CurrentVersion | None, Failure]:
        """Read the version row, which settles unknown outcomes."""
        settled = self.unknown_outcomes
        read = await super().fetch_current()
        if isinstance(read, Err):
            return read
        for _ in range(settled):
            self.confirmation.end_promotion()
        self.unknown_outcomes -= settled
        return read


def has_unknown_outcome(promoted: Result[Promoted, Failure]) -> bool:
    """Return whether it is unknown if a promotion took effect."""
    if not isinstance(promoted, Err):
        return False
    return promoted.err_value.kind is ErrorKind.PROMOTION_UNKNOWN
