"""
Port to the upstreams that notes which of them respond.

Everything that a gateway sends to upstreams goes through it, requests and probes alike;
``isolation`` acts on what it notes.
"""

from collections import abc

from spindlenotch import clock, ids, ports
from spindlenotch.kernel import reachability, upstreams


class ObservedPort:
    """Sends through another port, and notes which upstreams respond."""

    def __init__(
        self,
        port: ports.UpstreamPort,
        links: reachability.Reachability,
        host_clock: clock.Clock,
    ) -> None:
        self.port = port
        self.links = links
        self.clock = host_clock
        #: Called after each failure.
        self.on_failure: abc.Callable[[], None] = lambda: None

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Send a request; see ``ports.UpstreamPort.send``."""
        new_connection = request.needs_new_connection
        self.links.started(self.clock.now(), new_connection=new_connection)
        try:
            answer = await self.port.send(request)
        finally:
            self.links.ended(new_connection=new_connection)
        if answer is ports.UpstreamFault.CONNECT_FAILED:
            self.links.connect_failed(request.address)
            self.on_failure()
        elif answer is ports.UpstreamFault.CONNECTION_LOST:
            self.links.lost(request.address)
            self.on_failure()
        elif answer not in (
            ports.UpstreamFault.TOO_LATE,
            ports.UpstreamFault.WITHDRAWN,
        ):
            self.links.heard(self.clock.now(), new_connection=new_connection)
        return answer

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Query the load of an upstream; see ``ports.UpstreamPort.probe``."""
        report = await self.port.probe(address, timeout_s, path)
        if report is not ports.UpstreamFault.CONNECTION_LOST:
            self.links.heard(self.clock.now(), new_connection=False)
        return report

    async def liveness(self, address: ids.Address, timeout_s: float) -> ports.Liveness:
        """Check whether an upstream is alive; see ``ports.UpstreamPort.liveness``."""
        found = await self.port.liveness(address, timeout_s)
        if found is ports.Liveness.ALIVE:
            self.links.heard(self.clock.now(), new_connection=True)
        return found

    def close_idle(self, address: ids.Address) -> None:
        """Close the idle keep-alive connections to ``address``."""
        self.port.close_idle(address)

    async def close(self) -> None:
        """Close all connections."""
        await self.port.close()
