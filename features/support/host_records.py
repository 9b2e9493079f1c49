"""
Hosts as the platform's host list shows them, for the fleets of the tests.
"""

import typing

Record = dict[str, typing.Any]


def entry(host: str, zone: str, address: str, peer_address: str) -> Record:
    """Return the record of an entry host."""
    return {
        "id": host,
        "role": "entry",
        "zone": zone,
        "address": address,
        "peer_address": peer_address,
    }


def upstream(
    name: str, *, zone: str, address: str, generation: int, state: str
) -> Record:
    """Return the record of an upstream of the service ``resv``."""
    return {
        "id": name,
        "role": "upstream",
        "service": "resv",
        "zone": zone,
        "address": address,
        "generation": generation,
        "state": state,
    }
