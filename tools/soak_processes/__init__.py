"""Soak of real gateway processes among stand-ins, with faults from outside."""
