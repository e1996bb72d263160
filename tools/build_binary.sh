#!/usr/bin/env bash
# Builds dist/toucanwood, a single executable file that runs as one process.
set -eu
cd "$(dirname "$0")/.."
venv=${TOUCANWOOD_VENV:-.venv}
rm -rf build dist
mkdir -p dist
"$venv/bin/shiv" --quiet --compressed --reproducible \
  --console-script toucanwood --python "/usr/bin/env python3" \
  --output-file dist/toucanwood \
  --requirement requirements-runtime.lock .
echo "built dist/toucanwood: $(stat -c %s dist/toucanwood) bytes"
