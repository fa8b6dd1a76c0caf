"""Fetches client blocks from the agent, as a whole table or as a delta."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.lookup.blocks import Delta
from egretmill.lookup.blocks_file import BlocksReader, digest_steps
from egretmill.steer.state import SteerState
from egretmill.wire import PeerClient
from egretmill.wire.messages import BlocksBody, FetchBlocks

__all__ = ('BlocksFetch',)

CALL_TIMEOUT_S = 2.0
MAX_DELTA_BYTES = 4194304
# Three frames of IPv4 blocks, decoded between two look-ups. Look-ups may
# wait for at most 5 ms; decoding 256 KiB takes 10 ms.
STEP_BYTES = 65536

StepT = TypeVar('StepT')
Part = Result[BlocksBody, Failure]


class BlocksFetch:
    """One fetch; look-ups use the previous table until it ends."""

    def __init__(self, peer: PeerClient, state: SteerState) -> None:
        """Fetch over a connection to the agent into the state."""
        self.peer = peer
        self.state = state

    async def run(self, digest: str) -> Result[None, Failure]:
        """Fetch the table with a digest and put it in use."""
        first = await self.fetch_part(digest, self.state.blocks_digest, 0)
        if isinstance(first, Err):
            return first
        if first.ok_value.kind == 'table':
            received = await self.receive_table(digest, first.ok_value)
        else:
            received = await self.receive_delta(digest, first.ok_value)
        if isinstance(received, Ok):
            self.state.blocks_digest = digest
            log_event(
                events.CATALOGUE.CONFIGURATION_APPLIED,
                blocks=digest,
                form=first.ok_value.kind,
            )
        return received

    async def receive_table(
        self,
        digest: str,
        first: BlocksBody,
    ) -> Result[None, Failure]:
        """Receive a whole table and replace the one in use."""
        reader = BlocksReader()
        async for part in self.fetch_parts(first, ''):
            if isinstance(part, Err):
                return part
            fed = await feed_in_steps(reader, part.ok_value.part)
            if isinstance(fed, Err):
                return fed
        finished = reader.finish(digest)
        if isinstance(finished, Err):
            return finished
        self.state.blocks = finished.ok_value
        return Ok(None)

    async def receive_delta(
        self,
        digest: str,
        first: BlocksBody,
    ) -> Result[None, Failure]:
        """Receive a delta and apply it to the table in use.

        If the result does not have the digest, the next fetch requests the
        whole table.
        """
        base = self.state.blocks_digest
        if first.size > MAX_DELTA_BYTES:
            return malformed_answer_error(f'delta of {first.size} bytes')
        body = b''
        async for part in self.fetch_parts(first, base):
            if isinstance(part, Err):
                return part
            body += part.ok_value.part
        try:
            delta = msgspec.msgpack.decode(body, type=Delta)
        except DECODE_ERRORS as error:
            return malformed_answer_error(str(error))
        if (delta.base, delta.digest) != (base, digest):
            return malformed_answer_error(
                f'delta leads from {delta.base} to {delta.digest}'
            )
        return await self.apply_delta(delta)

    async def apply_delta(self, delta: Delta) -> Result[None, Failure]:
        """Apply a delta in steps, between which look-ups are answered.

        Until the result is verified, the table in use has no digest.
        """
        steps = self.state.blocks.apply(delta)
        if isinstance(steps, Err):
            return steps
        self.state.blocks_digest = ''
        await run_steps(steps.ok_value)
        actual_digest = await run_steps(digest_steps(self.state.blocks))
        if actual_digest != delta.digest:
            return malformed_answer_error(
                f'delta led to {actual_digest}, not {delta.digest}'
            )
        return Ok(None)

    async def fetch_parts(
        self, first: BlocksBody, base: str
    ) -> AsyncIterator[Part]:
        """Fetch and yield all parts; a failure is the last item."""
        part = first
        offset = 0
        while True:
            yield Ok(part)
            offset += len(part.part)
            if offset >= first.size:
                return
            answer = await self.fetch_part(first.digest, base, offset)
            if isinstance(answer, Err):
                yield answer
                return
            part = answer.ok_value

    async def fetch_part(self, digest: str, base: str, offset: int) -> Part:
        """Fetch and validate one part."""
        message = FetchBlocks(digest, base, offset)
        answer = await self.peer.call(message, CALL_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        body = answer.ok_value
        if not isinstance(body, BlocksBody) or not body.part:
            return malformed_answer_error(f'unexpected {type(body).__name__}')
        if (body.digest, body.offset) != (digest, offset):
            return malformed_answer_error(
                f'part {body.offset} of {body.digest}'
            )
        return Ok(body)


async def feed_in_steps(
    reader: BlocksReader,
    part: bytes,
) -> Result[None, Failure]:
    """Decode a part in steps, between which look-ups are answered."""
    fed: Result[None, Failure] = Ok(None)
    offset = 0
    while offset < len(part) and isinstance(fed, Ok):
        fed = reader.feed(part[offset : offset + STEP_BYTES])
        offset += STEP_BYTES
        await asyncio.sleep(0)
    return fed


async def run_steps(steps: Iterator[StepT]) -> StepT | None:
    """Run steps, yielding to the event loop; return the last item."""
    last = None
    while (step := next(steps, None)) is not None:
        last = step
        await asyncio.sleep(0)
    return last


def malformed_answer_error(detail: str) -> Err[Failure]:
    """Return the failure for an invalid answer of the agent."""
    return Err(Failure(ErrorKind.MALFORMED_FRAME, f'blocks: {detail}'))
