"""Tests of the signals of targets that controllers share among entries."""

from toucanwood.controller._shared_signals import SIGNAL_TIMEOUT_S, SharedSignals


def list_limits(signals, epoch=0, version=0, now=0.0):
    changed = signals.list_since(epoch, version, now) or []
    return {target_id: limit for target_id, _, limit, _, _ in changed}


def test_report_is_listed_once_for_each_version():
    signals = SharedSignals(epoch=7)
    signals.record([["t-1", 1, 3.5, False, 0.2], ["t-2", 1, 2.0, False, 0.0]], 10.0)
    assert list_limits(signals) == {"t-1": 3.5, "t-2": 2.0}
    seen = signals.version
    assert signals.list_since(7, seen, 10.0) is None
    signals.record([["t-1", 1, 3.5, False, 0.0]], 11.0)
    assert signals.list_since(7, seen, 11.0) is None
    signals.record([["t-1", 1, 4.0, False, 0.0]], 12.0)
    assert list_limits(signals, 7, seen) == {"t-1": 4.0}


# Guards against versions of another controller, or of one before its restart.
def test_entry_with_another_epoch_gets_every_report():
    signals = SharedSignals(epoch=7)
    signals.record([["t-1", 1, 3.5, False, 0.0]], 10.0)
    assert list_limits(signals, 6, 100) == {"t-1": 3.5}


# Guards against a limit that comes back with a delayed report.
def test_older_report_or_incarnation_does_not_replace_a_later_one():
    signals = SharedSignals(epoch=7)
    signals.record([["t-1", 2, 0.0, False, 0.1]], 10.0)
    signals.record([["t-1", 2, 3.5, False, 0.5]], 10.1)
    signals.record([["t-1", 1, 3.5, False, 0.0]], 11.0)
    assert list_limits(signals) == {"t-1": 0.0}
    assert signals.dump() == {}


# Guards against entries that leave a target unused for ever: one that may not send to
# it learns of the end of its limit from others only.
def test_limit_that_nobody_repeats_ends_at_every_entry():
    signals = SharedSignals(epoch=7)
    signals.record([["t-1", 1, 3.5, False, 0.0]], 10.0)
    seen = signals.version
    signals.expire({"t-1"}, 10.0 + SIGNAL_TIMEOUT_S - 1)
    assert list_limits(signals) == {"t-1": 3.5}
    signals.expire({"t-1"}, 10.0 + SIGNAL_TIMEOUT_S + 1)
    assert list_limits(signals, 7, seen) == {"t-1": 0.0}
    signals.expire({"t-1"}, 10.0 + 10 * SIGNAL_TIMEOUT_S)
    assert list_limits(signals, 7, seen) == {"t-1": 0.0}
    signals.expire(set(), 10.0 + 10 * SIGNAL_TIMEOUT_S)
    assert list_limits(signals) == {}


# Guards against a target that is used again after a later response without the signal.
def test_target_that_leaves_does_so_until_it_restarts():
    signals = SharedSignals(epoch=7)
    signals.record([["t-1", 1, 0.0, True, 0.0]], 10.0)
    signals.record([["t-1", 1, 2.0, False, 0.0]], 11.0)
    assert signals.list_since(0, 0, 11.0) == [["t-1", 1, 2.0, True, 0.0]]
    signals.record([["t-1", 2, 0.0, False, 0.0]], 12.0)
    assert signals.list_since(0, 0, 12.0) == [["t-1", 2, 0.0, False, 0.0]]
