"""Promotions through this agent, known to the confirmation of versions."""

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
    """Tells the confirmation while a promotion has no known outcome.

    Peers must not conclude from this host's silence about the platform
    that nothing was promoted while such a promotion is open. For the same
    reason only holders of a share slot promote, whom all hosts know.
    """

    def __init__(
        self,
        store: PlatformStore,
        state: AgentState,
        may_promote: Callable[[], bool],
    ) -> None:
        """Promote with the platform and the state of an agent."""
        super().__init__(
            store,
            state.settings.name,
            state.now,
            lambda: state.environment,
        )
        self.confirmation = state.confirmation
        self.may_promote = may_promote
        self.unknown_outcomes = 0

    async def promote(
        self,
        body: bytes,
        expected_version: int,
        attempt_id: str,
        operator: str,
    ) -> Result[Promoted, Failure]:
        """Promote; an unknown outcome stays open until the next read."""
        if not self.may_promote():
            detail = 'this host holds no share slot; use the agent of another'
            return Err(Failure(ErrorKind.NOT_READY, detail))
        self.confirmation.begin_promotion()
        promoted = await super().promote(
            body,
            expected_version,
            attempt_id,
            operator,
        )
        if is_unknown(promoted):
            self.unknown_outcomes += 1
            return promoted
        self.confirmation.end_promotion()
        return promoted

    async def fetch_current(self) -> Result[CurrentVersion | None, Failure]:
        """Read the version row, which settles unknown outcomes."""
        pending = self.unknown_outcomes
        read = await super().fetch_current()
        if isinstance(read, Err):
            return read
        for _ in range(pending):
            self.confirmation.end_promotion()
        self.unknown_outcomes -= pending
        return read


def is_unknown(promoted: Result[Promoted, Failure]) -> bool:
    """Tell whether a promotion may or may not have taken effect."""
    if not isinstance(promoted, Err):
        return False
    return promoted.err_value.kind is ErrorKind.PROMOTION_UNKNOWN
