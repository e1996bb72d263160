"""Ranking of entry instances for lookups."""

import hashlib
import math
import random
from collections.abc import Collection, Iterable, Sequence
from typing import Protocol, TypeVar

# Changes the order between lookups, so that callers that cache a list for its whole
# time to live spread over the entries.
ROTATION_S = 0.001
LOAD_STEP = 0.25
MIN_WEIGHT = 0.1


class Entry(Protocol):
    """Describe an instance as the membership table has it.

    `load` is the used share of its capacity, 0 to 1.
    """

    @property
    def id(self) -> str:
        """Return the instance id."""

    @property
    def region(self) -> str:
        """Return the region."""

    @property
    def data_centre(self) -> str:
        """Return the data centre."""

    @property
    def load(self) -> float:
        """Return the used share of its capacity."""

    @property
    def is_leaving(self) -> bool:
        """Return whether it has announced its stop."""


class _Drains(Protocol):
    @property
    def regions(self) -> Collection[str]: ...
    @property
    def data_centres(self) -> Collection[str]: ...


class _Declaration(Protocol):
    @property
    def drains(self) -> _Drains: ...


class _View(Protocol):
    @property
    def declaration(self) -> _Declaration: ...


E = TypeVar("E", bound=Entry)


def rank_entries(
    view: _View, members: Iterable[E], home_region: str | None, now: float
) -> list[E]:
    """Return the entries in the order in which a caller should try them.

    The home region comes first; entries that leave or are drained come last. Within a
    group the order is random, weighted by spare capacity: a caller that keeps the list
    does not follow a load that has changed since.
    """
    groups = group_entries(view, members, home_region)
    return [entry for group in groups for entry in order_group(group, now)]


def group_entries(
    view: _View, members: Iterable[E], home_region: str | None
) -> list[list[E]]:
    """Return the groups of equally good entries, the best group first."""
    drains = view.declaration.drains
    groups: dict[tuple[int, bool], list[E]] = {}
    for entry in members:
        place = _grade(entry, drains), entry.region != home_region
        groups.setdefault(place, []).append(entry)
    return [groups[place] for place in sorted(groups)]


def order_group(group: Iterable[E], now: float) -> list[E]:
    """Return a group in random order, weighted by spare capacity."""
    rotation = math.floor(now / ROTATION_S)
    return sorted(group, key=lambda entry: _draw(entry, rotation))


def sample_group(group: Sequence[E], count: int, now: float) -> Sequence[E]:
    """Return `count` random entries of a group; all of them if there are fewer."""
    if len(group) <= count:
        return group
    rotation = math.floor(now / ROTATION_S)
    return random.Random(rotation).sample(group, count)


def _grade(entry: Entry, drains: _Drains) -> int:
    if entry.is_leaving:
        return 2
    is_drained = entry.region in drains.regions
    return 1 if is_drained or entry.data_centre in drains.data_centres else 0


def _draw(entry: Entry, rotation: int) -> float:
    """Return an exponential variate whose rate is the entry's spare capacity."""
    digest = hashlib.blake2b(f"{rotation}/{entry.id}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest) + 1) / 2**64
    load = math.floor(min(max(entry.load, 0.0), 1.0) / LOAD_STEP) * LOAD_STEP
    return -math.log(uniform) / max(1.0 - load, MIN_WEIGHT)
