"""Run a benchmark by name."""

import typer

from benchmarks.blocks import measure_blocks
from benchmarks.steering import measure_steering

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.command("steering")(measure_steering)
app.command("blocks")(measure_blocks)

if __name__ == "__main__":
    app()
