"""Makes the orders for a worker, within the bound of a frame.

Orders are the whole state that a side is to bring about, so they are not cut
into parts.  Of too many, the oldest are ordered; the next follow once reports
have confirmed these.  What has been ordered stays ordered until then.
"""

from typing import Final

from kingcuplever.connection import frames
from kingcuplever import messages
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet

# Shares of the lists that fit into a frame.
_MAX_STOP_BYTES: Final = frames.MAX_LIST_BYTES // 6
_MAX_PACE_BYTES: Final = frames.MAX_LIST_BYTES // 6
_MAX_START_BYTES: Final = (
    frames.MAX_LIST_BYTES - _MAX_STOP_BYTES - _MAX_PACE_BYTES
)


def make_orders(
    worker: fleet.Worker,
    epoch: int,
    number: int,
    evacuation_view: evacuations.Evacuations,
) -> messages.WorkerOrders:
    """Make the orders that a worker's side is to follow now."""
    starts = (
        messages.StartRow(*start) for start in worker.pending_starts.values()
    )
    stops = (messages.StopRow(*run) for run in sorted(worker.pending_stops))
    paces = (
        messages.PaceRow(run.task, run.run, percent)
        for run, percent in sorted(worker.paces.items())
    )
    return messages.WorkerOrders(
        epoch,
        number,
        worker.name,
        frames.take_rows(starts, _MAX_START_BYTES),
        frames.take_rows(stops, _MAX_STOP_BYTES),
        worker.acked,
        frames.take_rows(paces, _MAX_PACE_BYTES),
        *evacuation_view,
    )
