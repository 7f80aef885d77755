"""Contains the unexpected error of one item, so that the others are served.

Whoever handles many items in turn, such as jobs, workers or records, handles
each of them in a ``with`` block of :meth:`ErrorBarrier.contain`.  An error
that nobody has foreseen ends that block only.  It is no way to handle errors
that are expected: each contained error is a fault of this program, and is
reported as one.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from types import TracebackType
from typing import Final
from typing import NamedTuple
from typing import Self

import trio

from kingcuplever import logs

# Pause before a task is run again that has ended with an error.
_RESTART_PAUSE_S: Final = 0.5
# Items of which the barrier remembers how often they failed.
_MAX_COUNTED: Final = 1000


class ContainedError(NamedTuple):
    """An error that was contained.

    :ivar stage: what was being done.
    :ivar item: what it was being done for.
    :ivar error: the error and where it was raised.
    :ivar number: how often this stage of this item has failed.
    """

    stage: str
    item: str
    error: str
    number: int

    @property
    def is_worth_a_line(self) -> bool:
        """Whether to log it; one that comes again and again is, ever less."""
        return not self.number & (self.number - 1)

    def __str__(self) -> str:
        """Return it as one sentence."""
        return (
            f"Contained, {self.stage} of {self.item:.80}: {self.error}"
            f" (number {self.number})."
        )


def log_error(contained: ContainedError) -> None:
    """Log a contained error, unless it has just been logged."""
    if contained.is_worth_a_line:
        logs.warn(logs.Component.PROCESS, str(contained))


def report_error(stage: str, item: str, error: Exception) -> None:
    """Log an error that was contained without a barrier."""
    log_error(ContainedError(stage, item, describe_error(error), 1))


class ErrorBarrier:
    """Contains and reports the errors of single items."""

    def __init__(
        self, on_error: Callable[[ContainedError], None] = log_error
    ) -> None:
        """Create a barrier.

        :param on_error: called for each contained error.
        """
        self._on_error = on_error
        self._numbers: dict[tuple[str, str], int] = {}

    def contain(self, stage: str, item: str) -> "Containment":
        """Return a context manager that contains any :class:`Exception`.

        :param stage: what is being done; one of a few names.
        :param item: what it is being done for.
        """
        return Containment(self, stage, item)

    def report(self, stage: str, item: str, error: Exception) -> None:
        """Report an error that was contained."""
        if len(self._numbers) >= _MAX_COUNTED:
            self._numbers.clear()
        number = self._numbers.get((stage, item), 0) + 1
        self._numbers[stage, item] = number
        text = describe_error(error)
        self._on_error(ContainedError(stage, item, text, number))


class Containment:
    """Contains the errors of one ``with`` block.

    :ivar has_failed: whether the block has ended with an error.
    """

    __slots__ = ("has_failed", "_barrier", "_stage", "_item")

    def __init__(self, barrier: ErrorBarrier, stage: str, item: str) -> None:
        """Contain nothing yet."""
        self.has_failed = False
        self._barrier = barrier
        self._stage = stage
        self._item = item

    def __enter__(self) -> Self:
        """Begin the block."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        """Contain and report an error; let cancellations through."""
        if not isinstance(exc, Exception):
            return False
        self.has_failed = True
        self._barrier.report(self._stage, self._item, exc)
        return True


async def keep_running(
    run: Callable[[], Awaitable[None]], name: str, barrier: ErrorBarrier
) -> None:
    """Run a task of the process until it returns; again after an error.

    :param run: the task, which goes on from what it has stored.
    :param name: name of the task.
    """
    while True:
        with barrier.contain("task", name):
            await run()
            return
        await trio.sleep(_RESTART_PAUSE_S)


def describe_error(error: Exception) -> str:
    """Return an error and the place where it was raised, in one line."""
    cause: BaseException = error
    while isinstance(cause, BaseExceptionGroup):
        cause = cause.exceptions[0]
    text = f"{cause!r:.200}"
    traceback = cause.__traceback__
    if traceback is None:
        return text
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    code = traceback.tb_frame.f_code
    return f"{text} in {code.co_qualname}, line {traceback.tb_lineno}"
