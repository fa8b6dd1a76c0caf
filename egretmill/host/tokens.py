"""Single tokens of small accounts, asked from the hosts that own them.

The rate of a small account divided by all hosts would leave each less than
a token. A few hosts own it instead, and the others ask one of them for the
token of a request. The owner takes the token before it answers; an answer
that is lost wastes it.
"""

import asyncio
import itertools
import random
from collections.abc import Callable

from egretmill.peers.beat import TokenAnswer, TokenAsk
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer, PeerTable
from egretmill.shares.accounts import AccountLimits, Admitted, Limited

__all__ = ('TokenDesk',)

#: Longest wait for one answer: the way between regions and back, twice.
ANSWER_S = 0.08
#: Owners that are asked for one request.
MOST_ASKED = 2


class TokenDesk:
    """Asks for tokens and answers questions of other hosts.

    :param link: set once the socket is open.
    """

    def __init__(
        self,
        accounts: AccountLimits,
        peers: PeerTable,
        region: str,
        now: Callable[[], float],
    ) -> None:
        self.accounts = accounts
        self.peers = peers
        self.region = region
        self.now = now
        self.link: PeerLink | None = None
        self.numbers = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[TokenAnswer]] = {}
        self.rng = random.Random()  # noqa: S311

    async def borrow(
        self,
        account: str,
        refused: Limited,
        patience_s: float,
    ) -> Admitted | Limited:
        """Ask the owners of an account for a token.

        :param refused: the answer when no owner has one.
        """
        ends_at = self.now() + patience_s
        for owner in self.owners(account)[:MOST_ASKED]:
            left_s = min(ends_at - self.now(), ANSWER_S)
            answer = await self.ask(owner, account, left_s)
            if answer is None:
                continue
            if answer.granted:
                return Admitted(answer.wait_s)
            refused = Limited(answer.wait_s)
        return refused

    def owners(self, account: str) -> list[Peer]:
        """Return the live owners, those of the own region first."""
        now = self.now()
        names = self.accounts.token_owners(account, now)
        alive = [
            self.peers.peers[name]
            for name in names
            if self.peers.is_alive(name, now)
        ]
        self.rng.shuffle(alive)
        return sorted(alive, key=self._is_far)

    async def ask(
        self,
        owner: Peer,
        account: str,
        limit_s: float,
    ) -> TokenAnswer | None:
        """Ask one owner; ``None`` when no answer came in time."""
        if self.link is None or limit_s <= 0:
            return None
        number = next(self.numbers)
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[TokenAnswer] = loop.create_future()
        self.waiting[number] = waiter
        question = TokenAsk(self.peers.host, number, account)
        self.link.send(question, owner.address)
        try:
            async with asyncio.timeout(limit_s):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(number, None)

    def answer(self, ask: TokenAsk) -> TokenAnswer:
        """Answer a question with a token, if there is one."""
        granted = self.accounts.grant_token(ask.account, self.now())
        match granted:
            case Admitted(wait_s):
                return TokenAnswer(ask.number, True, wait_s)
            case Limited(retry_after_s):
                return TokenAnswer(ask.number, False, retry_after_s)

    def take(self, answer: TokenAnswer) -> None:
        """Pass an answer to the request that waits for it."""
        waiter = self.waiting.get(answer.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)

    def _is_far(self, owner: Peer) -> bool:
        return owner.beat is None or owner.beat.region != self.region
