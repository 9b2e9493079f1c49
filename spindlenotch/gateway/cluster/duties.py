"""
Assignment of duties: reading the source, writing discovery records, and probing.

Pure functions based on rendezvous hashing: equal views give equal assignments, and a
gateway that joins or leaves does not move the duties of others. Views differ briefly
when the fleet changes; several holders of a duty, or none, do no harm for that time
(a second reader only costs calls, because versions only grow). Standby gateways are
preferred, so that duties take no time from callers' requests.
"""

import collections
import math
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership, rendezvous, upstreams

#: Salts of the rendezvous hash, one per duty. All releases in a fleet must use the same
#: ones, as they determine the assignment.
READER_SALT = "source"
PROBER_SALT = "probes"
#: Upstreams of a zone per prober. Each prober sends up to 25 messages per second to the
#: active gateways of its zone, so their number must not grow with the fleet.
UPSTREAMS_PER_PROBER = 6

HostsByZone = dict[ids.ZoneName, list[ids.HostId]]


def standby_hosts(
    members: abc.Iterable[ownership.Member], active: abc.Container[ids.HostId]
) -> HostsByZone:
    """Return each zone's ready standby gateways, or all ready ones if none is."""
    hosts_by_zone: HostsByZone = {}
    for member in members:
        hosts_by_zone.setdefault(member.zone, []).append(member.host)
    return {
        zone: sorted(host for host in hosts if host not in active) or sorted(hosts)
        for zone, hosts in hosts_by_zone.items()
    }


def readers(zone: ids.ZoneName, hosts: abc.Collection[ids.HostId]) -> list[ids.HostId]:
    """Return ``hosts`` in order of preference for reading the source for ``zone``."""
    return _chosen(hosts, zone, READER_SALT, len(hosts))


def probers(
    standby_by_zone: HostsByZone, specs: abc.Iterable[upstreams.UpstreamSpec]
) -> HostsByZone:
    """Return the probers of each zone, one per ``UPSTREAMS_PER_PROBER`` upstreams."""
    count_by_zone = collections.Counter(spec.zone for spec in specs)
    return {
        zone: _chosen(hosts, zone, PROBER_SALT, _prober_count(count_by_zone[zone]))
        for zone, hosts in standby_by_zone.items()
    }


def is_prober(
    host: ids.HostId, upstream: upstreams.UpstreamSpec, probers_by_zone: HostsByZone
) -> bool:
    """
    Tell whether ``host`` is the one gateway that probes an upstream.

    It is a prober of the upstream's own zone, so that probes do not cross zones, or
    of any zone if the upstream's zone has no gateway.
    """
    hosts = probers_by_zone.get(upstream.zone)
    if hosts is None:
        hosts = sorted(
            prober
            for zone_probers in probers_by_zone.values()
            for prober in zone_probers
        )
    # Most gateways are not probers; skip hashing for them.
    if host not in hosts:
        return False
    return _chosen(hosts, upstream.zone, upstream.id, 1) == [host]


def _prober_count(upstream_count: int) -> int:
    return math.ceil(max(1, upstream_count) / UPSTREAMS_PER_PROBER)


def _chosen(
    hosts: abc.Iterable[ids.HostId], zone: ids.ZoneName, salt: str, count: int
) -> list[ids.HostId]:
    members = [ownership.Member(zone, host) for host in hosts]
    return rendezvous.assigned_hosts(members, zone, salt, count)
