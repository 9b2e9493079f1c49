"""
How a daemon reads its settings: typed rows, one reader, one reference table.
"""
