"""Run a benchmark by name."""

import importlib
import importlib.util
import json
import pathlib
from collections.abc import Callable
from typing import Annotated, Any

import typer

from benchmarks import capacity, consensus, limits, outcomes
from benchmarks.blocks import measure_blocks
from benchmarks.steering import measure_steering

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.command("steering")(measure_steering)


def add_benchmark(name: str, run: Callable[[int], dict[str, Any]]) -> None:
    """Add a command that writes the figures of `run(seed)` as JSON."""

    def command(
        seed: int = 1,
        json_path: Annotated[
            str, typer.Option("--json", help="file, or - for stdout")
        ] = "-",
    ) -> None:
        text = json.dumps(run(seed), indent=2)
        if json_path == "-":
            print(text)
        else:
            pathlib.Path(json_path).write_text(text + "\n")

    app.command(name, help=run.__doc__)(command)


add_benchmark("limits", limits.run)
add_benchmark("outcomes", outcomes.run)
add_benchmark("consensus", consensus.run)
app.command("blocks")(measure_blocks)
add_benchmark("capacity", capacity.run)
if importlib.util.find_spec("benchmarks.convergence") is not None:
    add_benchmark("convergence", importlib.import_module("benchmarks.convergence").run)

if __name__ == "__main__":
    app()
