from toucanwood.controller import Directory, EntryInfo
from toucanwood.controller._directory import ENTRY_TIMEOUT_S
from toucanwood.controller._heard import SILENT_TARGET_S, HeardTargets
from toucanwood.controller.tests.world import TARGET

REGIONS = {"a": "north", "b": "north", "c": "south"}


def note(directory, name, data_centre, now=0.0, *, is_ready=True):
    directory.note(
        EntryInfo(name, f"{name}:80", REGIONS[data_centre], data_centre, is_ready), now
    )


def test_caller_gets_the_entries_of_its_region_its_data_centre_first():
    directory = Directory(REGIONS)
    note(directory, "e1", "a")
    note(directory, "e2", "b")
    note(directory, "e3", "c")
    assert directory.look_up("north", "b", 0.0) == ["e2:80", "e1:80"]


def test_caller_whose_region_has_no_entry_gets_those_of_others():
    directory = Directory(REGIONS)
    note(directory, "e3", "c")
    assert directory.look_up("north", "a", 0.0) == ["e3:80"]


# Guards against look-ups that name an entry which has died or is leaving.
def test_silent_and_leaving_entries_are_not_named():
    directory = Directory(REGIONS)
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
