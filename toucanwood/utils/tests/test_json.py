"""Tests of the decoding of JSON."""

from toucanwood.utils import decode_json


def is_refused(text):
    try:
        decode_json(text.encode())
    except ValueError:
        return True
    return False


# Guards against documents that can be accepted but not stored, or not read back.
def test_numbers_that_no_message_can_hold_are_refused():
    for text in ("NaN", "-Infinity", "1e400", "-1e400", str(2**64), str(-(2**63) - 1)):
        assert is_refused(f'{{"limits": {{"x": [{text}]}}}}'), text
    assert decode_json(f"[{2**64 - 1}, {-(2**63)}, 1.5e3]".encode()) == [
        2**64 - 1,
        -(2**63),
        1500.0,
    ]


def test_text_that_is_not_json_or_nested_too_deeply_is_refused():
    for text in ("", "{", '{"a": 1}x', "[" * 200_000, "9" * 10_000):
        assert is_refused(text), text[:20]
