"""
Which gateways of a zone read the source, write its discovery record and probe.

Pure functions, by rendezvous hashing: equal views give equal choices, and a
gateway that joins or leaves moves no other's duty. Views differ for a moment
when the fleet changes; too many or no holders of a duty do no harm then (a
second reader costs calls, versions only grow). Duties go to standby gateways,
so that they take no time from callers' requests.
"""

import collections
import math
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership, rendezvous, upstreams

#: Salts of the hash, one a duty. Part of the choice: gateways of two releases
#: in one fleet must agree on them.
READER_SALT = "source"
PROBER_SALT = "probes"
#: Upstreams for each prober of a zone. Each prober sends its zone's active gateways up
#: to 25 messages a second, which must not grow with the fleet.
UPSTREAMS_PER_PROBER = 6

HostsByZone = dict[ids.ZoneName, list[ids.HostId]]


def standby_hosts(
    members: abc.Iterable[ownership.Member], active: abc.Container[ids.HostId]
) -> HostsByZone:
    """Return the ready gateways that are not active; all where there are no others."""
    hosts_by_zone: HostsByZone = {}
    for member in members:
        hosts_by_zone.setdefault(member.zone, []).append(member.host)
    return {
        zone: sorted(host for host in hosts if host not in active) or sorted(hosts)
        for zone, hosts in hosts_by_zone.items()
    }


def readers(zone: ids.ZoneName, hosts: abc.Collection[ids.HostId]) -> list[ids.HostId]:
    """Return ``hosts`` in the order in which they read the source for their zone."""
    return _chosen(hosts, zone, READER_SALT, len(hosts))


def probers(
    standby_by_zone: HostsByZone, specs: abc.Iterable[upstreams.UpstreamSpec]
) -> HostsByZone:
    """Return the gateways that probe in each zone, in number by its upstreams."""
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

    That is a prober of the upstream's zone, so that probes do not cross zones;
    of any zone where its own has no gateway.
    """
    hosts = probers_by_zone.get(upstream.zone)
    if hosts is None:
        hosts = sorted(
            prober
            for zone_probers in probers_by_zone.values()
            for prober in zone_probers
        )
    # Most gateways probe nothing, and need no hash to know it.
    if host not in hosts:
        return False
    return _chosen(hosts, upstream.zone, upstream.id, 1) == [host]


def _prober_count(upstream_count: int) -> int:
    return math.ceil(max(1, upstream_count) / UPSTREAMS_PER_PROBER)


def _chosen(
    hosts: abc.Iterable[ids.HostId], zone: ids.ZoneName, salt: str, count: int
) -> list[ids.HostId]:
    members = [ownership.Member(zone, host) for host in hosts]
    return rendezvous.chosen(members, zone, salt, count)
