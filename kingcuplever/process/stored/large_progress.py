"""Short form of the progress of a job with many tasks.

The usual form names the worker of each task, and each occurrence that is
done; for a job of 2,000 tasks that can exceed a record.  This form names each
worker once, and ranges of occurrences.
"""

from collections.abc import Collection
from typing import Any
from typing import Final

from kingcuplever.process.scheduling import model

# Places in the usual form of a job's progress, and in that of a group.
_FINISHED: Final = 1
_GROUPS: Final = 2
_SAVED: Final = 6
_WORKERS: Final = 7
_AVOIDED: Final = 9
# Most bytes of a group without its checkpoint, of a worker's name, of a range
# of occurrences, and of the rest.
_GROUP_BYTES: Final = 64
_NAME_BYTES: Final = 48
_RANGE_BYTES: Final = 14
_OTHER_BYTES: Final = 512


def bound_bytes(tasks: int, occurrences: int) -> int:
    """Return the most bytes of a progress without checkpoints.

    :param tasks: tasks in all open occurrences.
    :param occurrences: number of open occurrences.
    """
    return (
        tasks * (_GROUP_BYTES + _NAME_BYTES)
        + occurrences * _RANGE_BYTES
        + _OTHER_BYTES
    )


def encode(value: list[Any], left_out: Collection[str] = ()) -> dict[str, Any]:
    """Convert a progress from its usual form.

    :param left_out: what to leave out of the groups: ``saved``, their
        checkpoints, or ``avoided``, the workers that they avoid.
    """
    names: dict[str, int] = {}
    groups = [
        _encode_group(group, names, left_out) for group in value[_GROUPS]
    ]
    rest = [*value[:_FINISHED], *value[_GROUPS + 1 :]]
    return {
        "finished": _encode_ranges(value[_FINISHED]),
        "workers": [*names],
        "groups": groups,
        "rest": rest,
    }


def decode(document: dict[str, Any]) -> list[Any]:
    """Convert a progress back to its usual form.

    :raises KeyError: if a part is missing.
    :raises TypeError: if a part has another type.
    :raises ValueError: if a part has a wrong value.
    """
    names = document["workers"]
    state, *numbers = document["rest"]
    finished = _decode_ranges(document["finished"])
    groups = [_decode_group(group, names) for group in document["groups"]]
    return [state, finished, groups, *numbers]


def _decode_ranges(ranges: list[list[int]]) -> list[int]:
    """Return the numbers in ranges.

    :raises ValueError: if they are more than a job has occurrences.
    """
    numbers: list[int] = []
    for first, last in ranges:
        if last - first >= model.MAX_OCCURRENCES - len(numbers):
            raise ValueError(f"{first} to {last} are too many occurrences")
        numbers += range(first, last + 1)
    return numbers


def _encode_group(
    group: list[Any], names: dict[str, int], left_out: Collection[str]
) -> list[Any]:
    """Convert a group; number the names of its workers."""
    short = [*group]
    if "avoided" in left_out and len(short) > _AVOIDED:
        short[_AVOIDED] = []
    for place in _list_name_places(short):
        short[place] = [
            names.setdefault(name, len(names)) for name in short[place]
        ]
    if "saved" in left_out:
        short[_SAVED] = ""
    return short


def _decode_group(group: list[Any], names: list[str]) -> list[Any]:
    """Convert a group back.

    :raises ValueError: if it names a worker that is not there.
    """
    usual = [*group]
    for place in _list_name_places(usual):
        numbers = usual[place]
        if any(not 0 <= number < len(names) for number in numbers):
            raise ValueError(f"{numbers!r:.40} is no worker of the record")
        usual[place] = [names[number] for number in numbers]
    return usual


def _list_name_places(group: list[Any]) -> tuple[int, ...]:
    """Return the places of a group that hold names of workers."""
    return (_WORKERS, _AVOIDED) if len(group) > _AVOIDED else (_WORKERS,)


def _encode_ranges(numbers: list[int]) -> list[list[int]]:
    """Return the ranges of rising numbers, each with its last one."""
    ranges: list[list[int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges
