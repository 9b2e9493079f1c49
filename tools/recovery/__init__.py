"""Loss and return of real gateways, as many as a site has: ``docs/RECOVERY.md``."""
