"""What a decision asks its process to do, as plain typed data."""

from typing import NamedTuple

from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import records


class Append(NamedTuple):
    """Append a record of the present epoch to the stream."""

    body: records.Body


class Order(NamedTuple):
    """Send an order to the side of a worker."""

    worker: str
    message: messages.Reserve | messages.Go | messages.Stop | messages.Throttle


class Say(NamedTuple):
    """Write a log line."""

    part: logs.Part
    text: str


Command = Append | Order | Say
