"""
Signed bundles of configuration: their types, checks, seal and publication.
"""
