"""Tests of the command line: exit statuses and one line for each error."""

import contextlib
import io
import pathlib
import sys
import tempfile
from unittest import mock

from toucanwood.cli import run

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples" / "measuring"
UNREACHABLE = "127.0.0.1:1"


def run_command(*arguments):
    """Run a command; return its exit status, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    argv = ["toucanwood", *map(str, arguments)]
    with (
        mock.patch.object(sys, "argv", argv),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            run()
            status = 0
        except SystemExit as error:
            status = error.code
    return status, out.getvalue(), err.getvalue()


def check_with_replacement(name, old, new):
    """Run `check` on an example file in which one text is replaced."""
    text = (EXAMPLES / name).read_text()
    assert old in text
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "changed.yaml"
        path.write_text(text.replace(old, new, 1))
        return run_command("check", path)


def test_check_accepts_the_examples():
    # Guards against example files that the program no longer accepts.
    for path in EXAMPLES.rglob("*.yaml"):
        assert run_command("check", path)[0] == 0, path


def test_check_prints_every_error_with_its_line():
    # Guards against a traceback, and against a check that stops at the first error.
    status, _, err = check_with_replacement(
        "declaration.yaml", "rate: 120", "rate: -1\n  x: 1"
    )
    assert status == 2
    assert len(err.splitlines()) == 2
    assert "line 16: organisations[0].rate: got -1" in err


def test_check_recognises_settings_file_without_peer_secret():
    # Guards against a settings file that is mistaken for a declaration.
    name = "settings/norte-1-a.yaml"
    status, _, err = check_with_replacement(name, "peer_secret:", "secret:")
    assert status == 2 and "peer_secret" in err and "regions" not in err


def test_report_of_files_without_log_lines_is_an_error():
    # Guards against an empty page, or a traceback, for a wrong file.
    for name in ("/nonexistent.log", EXAMPLES / "declaration.yaml"):
        status, _, err = run_command("report", name)
        assert status == 2 and err.splitlines()[-1].startswith("error: ")


def test_errors_are_one_line_with_an_exit_status():
    # Guards against tracebacks for files or instances that can't be reached.
    cases = [
        (("check", "/nonexistent.yaml"), 2),
        (("serve", "/nonexistent.yaml"), 2),
        (("get", "--instance", UNREACHABLE), 4),
        (("lookup", "s", "--instance", UNREACHABLE), 4),
        (("get", "--token-file", "/nonexistent"), 2),
        (("routing", "check", "/nonexistent.yaml"), 2),
        (("routing", "get", "--instance", UNREACHABLE), 4),
        (("evacuation", "start", "a", "--instance", UNREACHABLE), 4),
    ]
    for arguments, expected in cases:
        status, _, err = run_command(*arguments)
        assert status == expected, arguments
        assert err.startswith("error: ") and len(err.splitlines()) == 1, err
