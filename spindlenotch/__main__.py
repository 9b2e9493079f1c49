"""Run the command line as ``python -m spindlenotch``."""

from spindlenotch import cli

if __name__ == "__main__":
    cli.main()
