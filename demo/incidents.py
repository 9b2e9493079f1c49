"""
What goes wrong in the demo, and when: a failure, a drain and a bundle change.
"""

import asyncio
import time

from demo import deployment, screen

#: Share of the demo's time between two incidents. Chosen, not measured.
INTERVAL_SHARE = 0.2
#: How often the entries' versions are looked at, in seconds.
VERSION_CHECK_S = 0.005


async def run(
    tuul: deployment.Deployment,
    dakar: deployment.Deployment,
    shown: screen.Screen,
    seconds: float,
) -> None:
    """Play the incidents within a demo of ``seconds``, then heal the failure."""
    interval_s = seconds * INTERVAL_SHARE
    await asyncio.sleep(interval_s)
    broken = dakar.upstream_by_name["carothek-03"]
    shown.add_event("FAULT  carothek-03 fails everything at once")
    broken.behaviour.fail_fast = True
    await asyncio.sleep(interval_s)
    leaving = tuul.upstream_by_name["resv-core-07"]
    shown.add_event(
        "FAULT  resv-core-07 starts to drain; the host list does not say so"
    )
    leaving.behaviour.draining = True
    await asyncio.sleep(interval_s)
    shown.add_event("CHANGE an operator publishes version 2 for tuul")
    elapsed_s = await _change_bundle(tuul)
    shown.add_event(
        f"CHANGE in force on every entry {elapsed_s * 1000:.0f} ms after it was begun"
    )
    broken.behaviour.fail_fast = False
    shown.add_event("HEALED carothek-03 works again")


async def _change_bundle(target: deployment.Deployment) -> float:
    """Publish a changed bundle; return seconds until it is in force everywhere."""
    text = target.bundle_text()
    began = time.monotonic()
    await target.publish(text.replace("typical_ms = 40.0", "typical_ms = 45.0"))
    while set(target.versions()) != {target.version}:
        await asyncio.sleep(VERSION_CHECK_S)
    return time.monotonic() - began
