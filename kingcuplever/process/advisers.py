"""The interface to the service that decides which workers may run a step."""

from typing import Protocol

from kingcuplever.process.scheduling import advice


class Adviser(Protocol):
    """Answers one question at a time, slowly."""

    async def ask(self, question: advice.AdviceRequest) -> advice.AdviceReply:
        """Ask which of some workers may run a step.

        :raises errors.PlatformFailed: if there is no whole answer.
        """
