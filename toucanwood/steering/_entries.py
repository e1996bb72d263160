"""Ranking of entry instances for lookups."""

import hashlib
import math
import random
from collections.abc import Collection, Iterable, Sequence
from typing import Protocol, TypeVar

# Time after which the random order of the entries changes, so that callers that cache
# the list of a lookup for its whole time to live spread over the entries.
ROTATION_INTERVAL_S = 0.001
# Loads are rounded down to multiples of this step, so that small changes of the load
# keep the order.
LOAD_STEP = 0.25
# Smallest weight, so that fully loaded entries still receive some callers.
MIN_WEIGHT = 0.1


class Entry(Protocol):
    """An entry instance, as the membership table has it."""

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
        """Return the fraction of its capacity in use, 0 to 1."""

    @property
    def is_leaving(self) -> bool:
        """Return whether the instance has announced that it will stop."""


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

    Entries of the home region come first; drained and leaving entries come last. Within
    a group the order is random, weighted by spare capacity, because the load can change
    while a caller keeps the list.
    """
    groups = group_entries(view, members, home_region)
    return [entry for group in groups for entry in order_group(group, now)]


def group_entries(
    view: _View, members: Iterable[E], home_region: str | None
) -> list[list[E]]:
    """Return the groups of entries with the same rank, the best group first."""
    drains = view.declaration.drains
    groups: dict[tuple[int, bool], list[E]] = {}
    for entry in members:
        rank = _compute_drain_rank(entry, drains), entry.region != home_region
        groups.setdefault(rank, []).append(entry)
    return [groups[rank] for rank in sorted(groups)]


def order_group(group: Iterable[E], now: float) -> list[E]:
    """Return a group in random order, weighted by spare capacity."""
    rotation = math.floor(now / ROTATION_INTERVAL_S)
    return sorted(group, key=lambda entry: _draw_sort_key(entry, rotation))


def sample_group(group: Sequence[E], count: int, now: float) -> Sequence[E]:
    """Return `count` random entries of a group, or all if there are no more."""
    if len(group) <= count:
        return group
    rotation = math.floor(now / ROTATION_INTERVAL_S)
    return random.Random(rotation).sample(group, count)


def _compute_drain_rank(entry: Entry, drains: _Drains) -> int:
    if entry.is_leaving:
        return 2
    is_drained = entry.region in drains.regions
    return 1 if is_drained or entry.data_centre in drains.data_centres else 0


def _draw_sort_key(entry: Entry, rotation: int) -> float:
    """Return an exponential variate whose rate is the spare capacity of the entry.

    The variate depends only on the id and the rounded load of the entry and on
    `rotation`, so all instances order the entries alike.
    """
    digest = hashlib.blake2b(f"{rotation}/{entry.id}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest) + 1) / 2**64
    load = math.floor(min(max(entry.load, 0.0), 1.0) / LOAD_STEP) * LOAD_STEP
    return -math.log(uniform) / max(1.0 - load, MIN_WEIGHT)
