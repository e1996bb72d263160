"""Play the regression runs on the users' bench, one site after the other.

``python -m tools.play_sites BENCH SYSTEM_DIR OUT_DIR`` scores every site and hunts on
it. The output of each play goes to a file; the exit status is 1 if a gate failed, a
rule was broken, or a play did not end.
"""

import pathlib
import re
import subprocess
from typing import Annotated

import attrs
import typer

MAX_JOBS = 3


@attrs.frozen
class Site:
    """A site file below the folder of the system, and the days to hunt on it."""

    path: str
    hunt_days: int


SITES = (
    Site("sites/retiro-cintas.toml", 40),
    Site("sites/teilnetz.toml", 40),
    Site("grown/retiro-cintas-grown.toml", 8),
    Site("grown/teilnetz-grown.toml", 8),
    Site("large/retiro-cintas-large.toml", 8),
)


def find_failure(verb: str, output: str) -> str | None:
    """Return why a play counts as failed, or None."""
    if verb == "score":
        return None if "GATE passed" in output else "the gate was not passed"
    match = re.search(r"(\d+) days on \S+, (\d+) with a rule broken", output)
    if match is None:
        return "the hunt did not end"
    return None if match.group(2) == "0" else f"{match.group(2)} days broke a rule"


def play(
    bench: Annotated[pathlib.Path, typer.Argument(help="Program of the bench.")],
    system: Annotated[pathlib.Path, typer.Argument(help="Folder of the site files.")],
    out: Annotated[pathlib.Path, typer.Argument(help="Folder for the output.")],
    only: Annotated[str, typer.Option(help="Part of a site's path.")] = "",
    jobs: Annotated[int, typer.Option(min=1, max=MAX_JOBS)] = MAX_JOBS,
    why: Annotated[str, typer.Option(help="Line for the journal.")] = "regression",
) -> None:
    """Score each site and hunt on it."""
    out.mkdir(parents=True, exist_ok=True)
    failures = []
    for site in SITES:
        if only not in site.path:
            continue
        for verb, extra in (("score", []), ("hunt", ["--days", str(site.hunt_days)])):
            name = f"{verb} {pathlib.Path(site.path).stem}"
            typer.echo(f"{name} ...")
            command = [str(bench), verb, str(system / site.path), *extra]
            command += ["--jobs", str(jobs), "--why", why]
            file = out / f"{name.replace(' ', '-')}.txt"
            with file.open("w") as stream:
                subprocess.run(command, stdout=stream, stderr=subprocess.STDOUT)
            failure = find_failure(verb, file.read_text())
            typer.echo(f"{name}: {failure or 'passed'}; see {file}")
            if failure is not None:
                failures.append(name)
    if failures:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(play)
