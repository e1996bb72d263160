"""Run ``python -m soak --seeds 5``; the exit status is 1 if an invariant is broken."""

import random
import sys
from typing import Annotated

import typer

from soak._run import run_seed


def soak(
    seed: Annotated[
        int | None, typer.Option(help="first seed (default: random)")
    ] = None,
    seeds: Annotated[int, typer.Option(help="number of consecutive seeds to run")] = 1,
    seconds: Annotated[
        float, typer.Option(help="duration of fault injection per seed")
    ] = 15.0,
) -> None:
    """Run the seeds one after another and print the result of each."""
    first = seed if seed is not None else random.randrange(1_000_000)
    failed = 0
    for current_seed in range(first, first + seeds):
        result = run_seed(current_seed, seconds)
        failed += bool(result.violations)
        status = "broken" if result.violations else "kept"
        print(
            f"seed={current_seed} invariants={status} requests={result.requests} "
            f"served={result.served} faults={len(result.faults)}",
            flush=True,
        )
        for line in result.violations:
            print(f"  {line}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(soak)
