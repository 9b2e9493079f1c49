"""
The ways of dispatching that an experiment compares, by name.
"""

from experiment import run, worker, workloads
from spindlenotch import registry

WAYS: registry.Registry[run.Factory] = registry.Registry("way")

WAYS.register("central")(run.Central)
WAYS.register("shortest")(run.ShortestKnown)
WAYS.register("fresh-probes")(run.FreshProbes)


def _kernel(name: str, policy: str, hedge_share: float) -> None:
    def make(
        simulation: worker.Simulation,
        workers: list[worker.Worker],
        setup: workloads.Setup,
        totals: run.Totals,
    ) -> run.Dispatch:
        service = run.service_for(setup, policy, hedge_share)
        return run.KernelDispatch(simulation, workers, setup, totals, service)

    WAYS.register(name)(make)


_kernel("random", "random", 0.0)
_kernel("round-robin", "round-robin", 0.0)
_kernel("least-outstanding", "least-outstanding", 0.0)
_kernel("two-choices", "two-choices", 0.0)
_kernel("owned", "owned", 0.08)
_kernel("owned-no-hedge", "owned", 0.0)
