"""Command line that runs one benchmark by its name."""

import typer

from benchmarks import capacity, consensus, control, convergence, limits, outcomes
from benchmarks._output import build_command
from benchmarks.blocks import measure_blocks
from benchmarks.placement import measure_placement
from benchmarks.steering import measure_steering

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.command("steering")(measure_steering)
app.command("limits")(build_command(limits.run))
app.command("outcomes")(build_command(outcomes.run))
app.command("consensus")(build_command(consensus.run))
app.command("blocks")(measure_blocks)
app.command("placement")(measure_placement)
app.command("capacity")(build_command(capacity.run))
app.command("control")(build_command(control.run))
app.command("convergence")(build_command(convergence.run))

if __name__ == "__main__":
    app()
