"""Run the command line as ``python -m spindlenotch``."""

from spindlenotch.cli import main

if __name__ == "__main__":
    main.main()
