"""Run the command line as ``python -m toucanwood``."""

from toucanwood.cli import run

if __name__ == "__main__":
    run()
