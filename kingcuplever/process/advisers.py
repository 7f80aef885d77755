"""Interface to the service that decides which workers may run a step."""

from typing import Protocol

from kingcuplever.process.scheduling import advice


class Adviser(Protocol):
    """Client of the service; it serves one slow request at a time."""

    async def ask(self, request: advice.AdviceRequest) -> advice.AdviceReply:
        """Request which of some workers may run a step.

        :raises errors.PlatformFailed: no complete response arrived.
        """
