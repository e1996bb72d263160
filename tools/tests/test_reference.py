"""Tests that the reference names every error and log event of the code."""

import pathlib
import re

import attrs

from toucanwood.declaration import Declaration
from toucanwood.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ERROR = re.compile(
    r'\b_?(?:refuse|build_uncertain|doubt|reject)\w*\(\s*"([a-z]+_[a-z_]+)"'
)
EVENT = re.compile(r'\blog\.(?:info|warning|error|debug)\(\s*"([a-z_]+)"')


def read_sources():
    paths = [
        path
        for path in (ROOT / "toucanwood").rglob("*.py")
        if "tests" not in path.parts and path.name != "testing.py"
    ]
    return "\n".join(path.read_text() for path in paths)


def test_reference_names_every_error_and_event():
    # Guards against an error or event that operators can't look up.
    names = set(re.findall(r"`([a-z_]+)`", (ROOT / "docs/reference.md").read_text()))
    sources = read_sources()
    used = set(ERROR.findall(sources)) | set(EVENT.findall(sources))
    assert len(used) > 80
    assert used - names == set()


def test_reference_names_every_setting():
    # Guards against settings that are undocumented.
    text = (ROOT / "docs/reference.md").read_text()
    for field in attrs.fields(Settings):
        assert f"`{field.name}`" in text, field.name
    for field in attrs.fields(Declaration):
        assert field.name in text, field.name
