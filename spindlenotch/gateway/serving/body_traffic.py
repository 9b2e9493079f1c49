"""
Measures the body bytes of requests and responses.

Counts them by distance in the metrics, and keeps the mean response size of each
route, from which the cost of sending a call to another region is estimated. Relies
on the metrics of the gateway's state.
"""

from spindlenotch.forwarding import exchanges
from spindlenotch.gateway import state
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import latency, regions

#: Weight of the newest response in a route's mean response size. Low, as single
#: sizes vary severalfold while the mean changes only with the configuration.
SIZE_WEIGHT = 0.05
#: Expected response size in bytes of a route with large responses before the first
#: was seen, so that such routes stay in the region from the first request on.
INITIAL_LARGE_RESPONSE_BYTES = 64 * 1024.0


class BodyTraffic:
    """
    Measures the bodies that one gateway forwards.

    Invariant: holds nothing about routes that are no longer configured.
    """

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._mean_size_by_route: dict[str, latency.Mean] = {}
        # Cached, as ``labels`` looks the child metric up at each call.
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
        """Return the expected size in bytes of a route's next response."""
        mean_size = self._mean_size_by_route.get(route.name)
        if mean_size is not None:
            return mean_size.value
        return INITIAL_LARGE_RESPONSE_BYTES if route.has_large_answers else 0.0

    def record_response(
        self, exchange: exchanges.Exchange, response_bytes: int
    ) -> None:
        """Record the bytes of a forwarded response and of its request."""
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
        """Drop the mean sizes of routes that are no longer configured."""
        names = {route.name for route in routes}
        for name in self._mean_size_by_route.keys() - names:
            del self._mean_size_by_route[name]
