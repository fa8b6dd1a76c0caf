"""A request that gets an error answer."""

import dataclasses

from egretmill.errors import Failure, Outcome

__all__ = ('Refusal',)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The failure and whether the request was executed, if known."""

    failure: Failure
    outcome: Outcome

    @classmethod
    def before_sending(cls, failure: Failure) -> 'Refusal':
        """Refuse a request of which no byte was sent."""
        return cls(failure, failure.answer.outcome)

    @classmethod
    def after_sending(cls, failure: Failure) -> 'Refusal':
        """Refuse a request that may have reached an upstream.

        It may have run there, so the outcome is never "not run".
        """
        outcome = failure.answer.outcome
        if outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        return cls(failure, outcome)
