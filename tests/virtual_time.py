"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors

SETTLE_S = 3600


class JumpingSelector(selectors.SelectSelector):
    """Advances the loop's clock where a real selector would block."""

    loop = None

    def select(self, timeout=None):
        """Return at once, with the clock advanced by the timeout."""
        if timeout is None:
            raise RuntimeError('nothing left to wait for')
        self.loop.virtual_now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, which starts at 1000 s."""

    def __init__(self):
        """Attach the selector."""
        self.virtual_now = 1000
        selector = JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        """Return the virtual time."""
        return self.virtual_now


def run_virtual(coroutine):
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
