"""Tests of the verdict on a play of the bench."""

from tools.play_sites import find_failure


# Guards against a play that was cut off and counts as passed.
def test_only_a_passed_gate_and_a_hunt_without_broken_rules_pass():
    assert find_failure("score", "score 0.8\nGATE passed\n") is None
    assert find_failure("score", "GATE failed\n") and find_failure("score", "")
    assert find_failure("hunt", "28 days on s, 0 with a rule broken\n") is None
    assert "2 days" in find_failure("hunt", "8 days on s, 2 with a rule broken\n")
    assert find_failure("hunt", "8 days, 2 at a time\n") == "the hunt did not end"
