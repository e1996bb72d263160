"""Tests that the reference names every error code, log event and setting."""

import pathlib
import re

import attrs

from toucanwood.declaration import Declaration
from toucanwood.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ERROR_PATTERN = re.compile(
    r'\b_?(?:refuse|build_uncertain|doubt|reject)\w*\(\s*"([a-z]+_[a-z_]+)"'
)
EVENT_PATTERN = re.compile(r'\blog\.(?:info|warning|error|debug)\(\s*"([a-z_]+)"')


def read_sources():
    paths = [
        path
        for path in (ROOT / "toucanwood").rglob("*.py")
        if "tests" not in path.parts and path.name != "testing.py"
    ]
    return "\n".join(path.read_text() for path in paths)


def test_reference_names_every_error_code_and_event():
    # Guards against error codes and events that the reference does not describe.
    names = set(re.findall(r"`([a-z_]+)`", (ROOT / "docs/reference.md").read_text()))
    sources = read_sources()
    used = set(ERROR_PATTERN.findall(sources)) | set(EVENT_PATTERN.findall(sources))
    assert len(used) > 80
    assert used - names == set()


def test_reference_names_every_setting():
    # Guards against undocumented settings and declaration fields.
    text = (ROOT / "docs/reference.md").read_text()
    for field in attrs.fields(Settings):
        assert f"`{field.name}`" in text, field.name
    for field in attrs.fields(Declaration):
        assert field.name in text, field.name
