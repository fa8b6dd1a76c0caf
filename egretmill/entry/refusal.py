"""A request that gets an error answer."""

import dataclasses

from egretmill.errors import Failure, Outcome

__all__ = ('Refusal',)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The failure and what is known about the execution."""

    failure: Failure
    outcome: Outcome

    @classmethod
    def before_sending(cls, failure: Failure) -> 'Refusal':
        """Refuse a request of which no byte was sent."""
        return cls(failure, failure.answer.outcome)

    @classmethod
    def after_sending(cls, failure: Failure) -> 'Refusal':
        """Refuse a request that may have reached an upstream.

        Whatever the kind of failure, "not run" would be a guess.
        """
        outcome = failure.answer.outcome
        if outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        return cls(failure, outcome)
