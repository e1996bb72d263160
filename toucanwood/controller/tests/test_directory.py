import random
from collections import Counter

from toucanwood.controller import EntryDirectory, EntryInfo
from toucanwood.controller._directory import ENTRY_TIMEOUT_S
from toucanwood.controller._heard import SILENT_TARGET_S, HeardTargets
from toucanwood.controller.tests.world import TARGET

REGIONS = {"a": "north", "b": "north", "c": "south"}


def note(directory, name, data_centre, now=0.0, *, is_ready=True):
    directory.record_announcement(
        EntryInfo(name, f"{name}:80", REGIONS[data_centre], data_centre, is_ready), now
    )


def test_caller_gets_the_entries_of_its_region_its_data_centre_first():
    directory = EntryDirectory(REGIONS)
    note(directory, "e1", "a")
    note(directory, "e2", "b")
    note(directory, "e3", "c")
    assert directory.look_up("north", "b", 0.0) == ["e2:80", "e1:80"]


def test_caller_whose_region_has_no_entry_gets_those_of_others():
    directory = EntryDirectory(REGIONS)
    note(directory, "e3", "c")
    assert directory.look_up("north", "a", 0.0) == ["e3:80"]


# Guards against look-ups that name an entry which has died or is leaving.
def test_silent_and_leaving_entries_are_not_named():
    directory = EntryDirectory(REGIONS)
    note(directory, "e1", "a")
    note(directory, "e2", "a", ENTRY_TIMEOUT_S)
    assert directory.look_up("north", "a", ENTRY_TIMEOUT_S + 0.1) == ["e2:80"]
    note(directory, "e2", "a", ENTRY_TIMEOUT_S, is_ready=False)
    assert directory.look_up("north", "a", ENTRY_TIMEOUT_S + 0.1) == []


def test_target_that_another_controller_hears_is_not_silent():
    heard = HeardTargets()
    heard.note(TARGET, 0.0)
    late = SILENT_TARGET_S + 1.0
    assert heard.list_silent([TARGET], late) == [TARGET]
    heard.note_shared([["t-1", 1, 5]], late)
    assert heard.list_silent([TARGET], late) == []


def test_new_leader_gives_targets_time_to_announce_themselves():
    heard = HeardTargets()
    assert heard.list_silent([TARGET], 1000.0) == []
    assert heard.list_silent([TARGET], 1000.0 + SILENT_TARGET_S + 1) == [TARGET]


def replay_look_ups(*, entries=20, callers=400, seconds=30, seed=1):
    """Let callers with kept connections look up every 2 s; return callers by entry.

    A quarter of the entries has just restarted without a caller. An entry tells its
    load, the mean of the last 1.5 s or so, once a second.
    """
    draw = random.Random(seed)
    directory = EntryDirectory(REGIONS, generator=draw)
    names = [f"e{number}:80" for number in range(entries)]
    places = [names[draw.randrange(entries * 3 // 4)] for _ in range(callers)]
    loads = dict.fromkeys(names, 0.0)
    for second in range(seconds):
        counts = Counter(places)
        for name in names:
            loads[name] += 0.5 * (counts[name] / 40 - loads[name])
            entry = EntryInfo(name, name, "north", "a", True, load=loads[name])
            directory.record_announcement(entry, float(second))
        for caller in range(second % 2, callers, 2):
            answer = directory.look_up("north", "a", float(second))
            if places[caller] not in answer:
                places[caller] = draw.choice(answer)
    return Counter(places)


# Guards against entries that restarted without callers and stay without, while others
# have twice their part: one entry was seen with 325 requests in 6 s and one with 25.
def test_callers_spread_over_the_entries_of_their_region():
    for seed in range(5):
        counts = replay_look_ups(seed=seed)
        mean = 400 / 20
        assert max(counts.values()) < 1.5 * mean
        assert len(counts) == 20


def test_entries_of_like_load_are_in_every_answer():
    directory = EntryDirectory(REGIONS)
    for number in range(8):
        load = 0.5 + 0.01 * number
        entry = EntryInfo(f"e{number}", f"e{number}:80", "north", "a", True, load=load)
        directory.record_announcement(entry, 0.0)
    answers = [directory.look_up("north", "a", 0.0) for _ in range(100)]
    assert all(len(answer) == 8 for answer in answers)


# Guards against a region that is emptied because most of its entries are busy.
def test_at_least_half_of_the_entries_are_named():
    directory = EntryDirectory(REGIONS)
    for number in range(8):
        load = 0.0 if number == 0 else 50.0
        entry = EntryInfo(f"e{number}", f"e{number}:80", "north", "a", True, load=load)
        directory.record_announcement(entry, 0.0)
    answers = [directory.look_up("north", "a", 0.0) for _ in range(200)]
    assert min(len(answer) for answer in answers) >= 4
