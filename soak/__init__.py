"""Randomized soak test of real processes on loopback under injected faults."""

import pathlib
import sys

# The folder has the name of a standard library module and can't be a package itself.
sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "platform"))
