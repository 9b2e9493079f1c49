"""
The command line.
"""
