"""
Bytes of requests' and answers' bodies: how far they went, and what to expect.

Counts them by distance for the operator, and keeps the mean size of each route's
answers, by which calls are held back from other regions. Relies on the metrics of
the gateway's state.
"""

from spindlenotch.forwarding import exchanges
from spindlenotch.gateway import state
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import latency, regions

#: Weight of the newest answer in the mean size of a route's answers: sizes differ
#: severalfold from one to the next, and change with the configuration only.
SIZE_WEIGHT = 0.05
#: Bytes expected of a large answer before there was one: such routes are worth
#: keeping in the region from the first request on.
INITIAL_LARGE_RESPONSE_BYTES = 64 * 1024.0


class BodyTraffic:
    """
    Follows the bodies that one gateway passes on.

    Invariant: nothing is kept of routes that are no longer configured.
    """

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._mean_size_by_route: dict[str, latency.Mean] = {}
        # Looked up once: the labels of a metric are found anew with each call.
        traffic_bytes = gateway_state.metrics.traffic_bytes
        self._requests_by_distance = {
            distance: traffic_bytes.labels("requests", distance.value)
            for distance in regions.Distance
        }
        self._responses_by_distance = {
            distance: traffic_bytes.labels("answers", distance.value)
            for distance in regions.Distance
        }

    def expected_response_bytes(self, route: routing.Route) -> float:
        """Return the expected size of a route's next answer."""
        mean_size = self._mean_size_by_route.get(route.name)
        if mean_size is not None:
            return mean_size.value
        return INITIAL_LARGE_RESPONSE_BYTES if route.has_large_answers else 0.0

    def record_response(
        self, exchange: exchanges.Exchange, response_bytes: int
    ) -> None:
        """Note an answer that is passed on, and the request that it answers."""
        job = exchange.job
        mean_size = self._mean_size_by_route.setdefault(
            job.call.latency_key, latency.Mean(float(response_bytes), SIZE_WEIGHT)
        )
        mean_size.add(float(response_bytes))
        request_bytes = len(job.body) if isinstance(job.body, bytes) else 0
        distance = self.state.regions.distance(
            self.state.config.zone, exchange.grant.upstream.spec.zone
        )
        self._requests_by_distance[distance].inc(request_bytes)
        self._responses_by_distance[distance].inc(response_bytes)

    def forget_missing(self, routes: tuple[routing.Route, ...]) -> None:
        """Drop the sizes of routes that are gone."""
        names = {route.name for route in routes}
        for name in self._mean_size_by_route.keys() - names:
            del self._mean_size_by_route[name]
