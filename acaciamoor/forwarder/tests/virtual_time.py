"""Event loop and clock whose time passes only while nothing can run."""

import asyncio
import collections.abc
import datetime
import selectors


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that skips the time until its next timer."""

    def __init__(self) -> None:
        self._elapsed_s = 0.0
        super().__init__(_SkippingSelector(self._skip))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._elapsed_s

    def _skip(self, timeout_s: float) -> None:
        self._elapsed_s += timeout_s


class LoopClock:
    """`Clock` that returns the time of the running event loop."""

    def now(self) -> datetime.datetime:
        """Return a wall-clock time."""
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC) + (
            self.monotonic()
        )

    def monotonic(self) -> datetime.timedelta:
        """Return the time of the event loop."""
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())


class _SkippingSelector(selectors.DefaultSelector):
    def __init__(self, skip: collections.abc.Callable[[float], None]) -> None:
        super().__init__()
        self._skip = skip

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self._skip(timeout)
        return found


def run(main: collections.abc.Coroutine) -> object:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
