"""Run the command line as ``python -m spindlenotch``."""

from spindlenotch.cli import cli

if __name__ == "__main__":
    cli.main()
