"""
The balancers of all services, kept in sync with the configuration and the upstreams.

Owns one balancer for each service that any configuration has named. Decisions about
requests are made in ``decisions``; a service's policy is built by ``service_defaults``.
"""

import random
from collections import abc

from spindlenotch import ids
from spindlenotch.decisions import balancer
from spindlenotch.forwarding import upstream_events
from spindlenotch.gateway import service_defaults, settings
from spindlenotch.gateway.cluster import fleet_size
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import ownership, upstreams

#: The upstreams that may receive requests, by service.
SpecsByService = abc.Mapping[ids.ServiceName, abc.Sequence[upstreams.UpstreamSpec]]


class Services:
    """
    The services of one gateway.

    ``region_size`` is the number of gateways in the region, by which the fleet's
    reserve of retries and hedges is divided.
    """

    def __init__(
        self,
        local_member: ownership.Member,
        region_size: fleet_size.FleetSize,
        rng: random.Random,
    ) -> None:
        self.local_member = local_member
        self.region_size = region_size
        self.rng = rng
        self.balancer_by_service: dict[ids.ServiceName, balancer.Balancer] = {}

    def configure(
        self, configuration: routing.Configuration, config: settings.GatewaySettings
    ) -> None:
        """Create balancers for new services and track the latencies of all routes."""
        for name, spec in configuration.service_by_name.items():
            if name not in self.balancer_by_service:
                self.balancer_by_service[name] = self._new_balancer(spec, config)
        for route in configuration.routes:
            typical_s = service_defaults.typical_latency_s(route)
            for part in route.parts:
                pool = self.balancer_by_service[part.service].pool
                pool.latencies.track(route.name, typical_s)

    def set_listed(
        self,
        specs_by_service: SpecsByService,
        configuration: routing.Configuration | None,
        config: settings.GatewaySettings,
        now: ids.Instant,
    ) -> None:
        """Set the listed upstreams of all services and update their policies."""
        for name, service in self.balancer_by_service.items():
            specs = specs_by_service.get(name, ())
            spec = None
            if configuration is not None:
                spec = configuration.service_by_name.get(name)
            if spec is not None:
                self._update_policy(service, spec, specs, config)
            service.pool.set_listed(specs, now)

    def tick(self, config: settings.GatewaySettings, now: ids.Instant) -> None:
        """End expired ejections and adapt the budgets to the size of the fleet."""
        reserve = service_defaults.extra_reserve(config, self.region_size)
        for service in self.balancer_by_service.values():
            service.pool.tick(now)
            service.extra.set_reserve(reserve)

    def end_ejections(self, now: ids.Instant) -> None:
        """Let every ejected upstream be tried again at once."""
        for service in self.balancer_by_service.values():
            for upstream in service.pool.ejected:
                upstream.end_ejection(now)
            service.pool.tick(now)
        self.report_changes()

    def leave(
        self, service: ids.ServiceName, spec: upstreams.UpstreamSpec, reason: str
    ) -> bool:
        """Stop sending new requests to an upstream; return whether that is a change."""
        pool = self.balancer_by_service[service].pool
        return pool.leave(spec.id, spec.generation, reason)

    def report_changes(self) -> None:
        """Log the state changes of upstreams."""
        for name, service in self.balancer_by_service.items():
            upstream_events.report_changes(name, service.pool)

    def _update_policy(
        self,
        service: balancer.Balancer,
        spec: routing.ServiceSpec,
        listed: abc.Iterable[upstreams.UpstreamSpec],
        config: settings.GatewaySettings,
    ) -> None:
        """Apply the policy of a service if it has changed."""
        zones = {upstream.zone for upstream in listed} | {config.zone}
        policy = service_defaults.policy(
            spec, tuple(sorted(zones)), config, self.region_size
        )
        if policy != service.service:
            service.update_service(policy)

    def _new_balancer(
        self, spec: routing.ServiceSpec, config: settings.GatewaySettings
    ) -> balancer.Balancer:
        policy = service_defaults.policy(spec, (config.zone,), config, self.region_size)
        return balancer.Balancer(policy, self.local_member, self.rng)
