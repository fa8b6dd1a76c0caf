"""Rate-limit tokens that hosts request from each other.

If the rate of a small account were divided by all hosts, each would have
less than one token. A few hosts own its limit instead, and the others
request the token for a request from one of them. The owner takes the token
from its bucket before it responds; a lost response wastes the token.
"""

import asyncio
import itertools
import random
from collections.abc import Callable

from egretmill.peers.datagrams import TokenResponse, TokenRequest
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer, PeerTable
from egretmill.shares.accounts import AccountLimits, Admitted, Limited

__all__ = ('RemoteTokens',)

#: Two round trips between regions.
RESPONSE_TIMEOUT_S = 0.08
#: Owners that are asked for the token of one request.
MAX_OWNERS_ASKED = 2


class RemoteTokens:
    """Requests tokens from their owners and grants own tokens to peers.

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
        self.request_numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future[TokenResponse]] = {}
        self.rng = random.Random()  # noqa: S311

    async def acquire(
        self,
        account: str,
        refused: Limited,
        max_wait_s: float,
    ) -> Admitted | Limited:
        """Request a token from the owners of an account.

        :param refused: returned when no owner responds.
        """
        give_up_at = self.now() + max_wait_s
        for owner in self.live_owners(account)[:MAX_OWNERS_ASKED]:
            remaining_s = min(give_up_at - self.now(), RESPONSE_TIMEOUT_S)
            response = await self.request_token(owner, account, remaining_s)
            if response is None:
                continue
            if response.granted:
                return Admitted(response.wait_s)
            refused = Limited(response.wait_s)
        return refused

    def live_owners(self, account: str) -> list[Peer]:
        """Return the live owners, those of the own region first."""
        now = self.now()
        names = self.accounts.token_owners(account, now)
        owners = [
            self.peers.peers[name]
            for name in names
            if self.peers.is_alive(name, now)
        ]
        self.rng.shuffle(owners)
        return sorted(owners, key=self._is_in_other_region)

    async def request_token(
        self,
        owner: Peer,
        account: str,
        timeout_s: float,
    ) -> TokenResponse | None:
        """Request a token from one owner; return ``None`` after a timeout."""
        if self.link is None or timeout_s <= 0:
            return None
        number = next(self.request_numbers)
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[TokenResponse] = loop.create_future()
        self.pending[number] = waiter
        request = TokenRequest(self.peers.host, number, account)
        self.link.send(request, owner.address)
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self.pending.pop(number, None)

    def handle_request(self, request: TokenRequest) -> TokenResponse:
        """Grant a token to a peer, if one is available."""
        granted = self.accounts.grant_token(request.account, self.now())
        match granted:
            case Admitted(wait_s):
                return TokenResponse(request.number, True, wait_s)
            case Limited(retry_after_s):
                return TokenResponse(request.number, False, retry_after_s)

    def handle_response(self, response: TokenResponse) -> None:
        """Pass a response to the request that waits for it."""
        waiter = self.pending.get(response.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _is_in_other_region(self, owner: Peer) -> bool:
        return owner.heartbeat is None or owner.heartbeat.region != self.region
