"""Command line and JSON output of the benchmarks."""

import json
import pathlib
import sys
from collections.abc import Callable
from typing import Annotated, Any

import structlog
import typer

JsonOption = Annotated[str, typer.Option("--json", help="file, or - for stdout")]


def write_json(content: Any, path: str) -> None:
    """Write figures as JSON to a file, or to standard output for "-"."""
    text = json.dumps(content, indent=2)
    if path == "-":
        print(text)
    else:
        pathlib.Path(path).write_text(text + "\n")


def build_command(run: Callable[[int], dict[str, Any]]) -> Callable[..., None]:
    """Build a command that writes the figures of `run(seed)` as JSON."""

    def command(seed: int = 1, json_path: JsonOption = "-") -> None:
        # Log to standard error; standard output holds only the JSON figures.
        structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
        write_json(run(seed), json_path)

    command.__doc__ = run.__doc__
    return command
