"""Checks, measurements and page makers of the project; no part of the product."""
