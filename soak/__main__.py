"""Run ``python -m soak --seeds 5``; it exits with 1 if an invariant is broken."""

import random
import sys
from typing import Annotated

import typer

from soak._run import play_seed


def soak(
    seed: Annotated[
        int | None, typer.Option(help="first seed; default: random")
    ] = None,
    seeds: Annotated[int, typer.Option(help="number of seeds")] = 1,
    seconds: Annotated[float, typer.Option(help="time of faults for each")] = 15.0,
) -> None:
    """Play seeds one after the other and print each verdict."""
    first = seed if seed is not None else random.randrange(1_000_000)
    failed = 0
    for number in range(first, first + seeds):
        verdict = play_seed(number, seconds)
        failed += bool(verdict.broken)
        result = "broken" if verdict.broken else "kept"
        print(
            f"seed={number} invariants={result} requests={verdict.requests} "
            f"served={verdict.served} faults={len(verdict.faults)}",
            flush=True,
        )
        for line in verdict.broken:
            print(f"  {line}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(soak)
