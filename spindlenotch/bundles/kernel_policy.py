"""
A bundle's service as the kernel takes it.

Keeps the kernel free of bundles: what the kernel does not need (methods and
prefixes of operations, connections) stays behind.
"""

from spindlenotch.bundles import bundle
from spindlenotch.kernel import extra_budgets, service_policy


def of(service: bundle.Service) -> service_policy.ServicePolicy:
    """Return the kernel's policy of a service of a bundle."""
    return service_policy.ServicePolicy(
        name=service.name,
        zones=service.zones,
        slots=service.slots,
        typical_s=service.typical_ms / 1000,
        selection=service.policy,
        extra=extra_budgets.SeparateShares(
            retry_share=service.retry_share, hedge_share=service.hedge_share
        ),
        queue_limit=service.queue_limit,
        eject_share=service.eject_share,
        latency_keys=tuple(operation.name for operation in service.operations),
        day=service.day,
    )
