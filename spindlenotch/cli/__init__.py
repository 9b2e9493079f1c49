"""
The command line, ``python -m spindlenotch``: one module per group of commands.
"""
