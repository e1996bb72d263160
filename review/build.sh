#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain Python and need no packages.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
