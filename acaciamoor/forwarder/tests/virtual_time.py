"""Event loop and clock whose time passes only while nothing can run."""

import asyncio
import collections.abc
import datetime
import selectors


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that skips the time until its next timer."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        super().__init__(_SkippingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.elapsed_s


class LoopClock:
    """The monotonic part of a `Clock`, by the running event loop."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time of the event loop."""
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())


class _SkippingSelector(selectors.DefaultSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self._loop.elapsed_s += timeout
        return found


def run(main: collections.abc.Coroutine) -> object:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
