"""Tests of reading and validating settings."""

from toucanwood.settings import Settings
from toucanwood.utils import ValidationError

VALID = {
    "id": "norte-1-a",
    "data_centre": "norte-1",
    "region": "norte",
    "http": "127.0.0.1:8101",
    "peer": "127.0.0.1:9101",
    "control": [{"id": "norte-1-a", "address": "127.0.0.1:9101"}],
    "peer_secret": "0123456789abcdef",
    "operator_token_sha256": "a" * 64,
    "target_token_sha256": "b" * 64,
}

# Field and invalid value.
INVALID_FIELDS = [
    ("id", None),
    ("http", "localhost:8101"),
    ("peer", "127.0.0.1:0"),
    ("peer_secret", "short"),
    ("operator_token_sha256", "A" * 64),
    ("lookup_ttl", 0),
    ("stop_timeout", "long"),
    ("statsd", "8125"),
    ("unknown", 1),
    ("control", "norte-1-a"),
]


def test_valid_settings_are_read():
    # Guards against fields or defaults that get lost.
    settings = Settings.from_config(VALID)
    assert settings.control[0].address == "127.0.0.1:9101"
    assert settings.lookup_ttl == 2.0


def test_each_invalid_setting_is_reported():
    # Guards against an instance that starts with invalid settings.
    for name, value in INVALID_FIELDS:
        try:
            Settings.from_config({**VALID, name: value})
        except ValidationError as error:
            assert any(name in field_error.path for field_error in error.errors), name
        else:
            raise AssertionError(f"{name} accepted {value!r}")


def test_secrets_stay_out_of_messages():
    # Guards against secrets in error messages and in logs.
    try:
        Settings.from_config({**VALID, "peer_secret": "hunter2", "id": 3})
    except ValidationError as error:
        assert "hunter2" not in str(error)
    assert VALID["peer_secret"] not in repr(Settings.from_config(VALID))
