"""
Versions of a service that fail under load, or mostly when the others fail as well.
"""

from features.steps import kernel
from features.support import rollout_trials, rollout_world as worlds
from spindlenotch.gateway.rollout import promotion
from spindlenotch.peers import rollout_notes

NOW = kernel.NOW


# Calls of a trial that are spread evenly hardly ever meet at an upstream. A version
# that failed only while two others ran there was promoted with 28 answers, none failed.
@kernel.PROPERTIES.register(
    "a version that fails under more load than there is is taken back"
)
def bad_under_load() -> None:
    completed = []
    for seed in range(12):
        plan = worlds.Plan(
            seed=seed,
            olds=10,
            news=10,
            per_s=80.0,
            by_s=8.0,
            slots=4,
            work=0.45,
            harm=worlds.Harm(fails=1.0, least_running=2),
            disturb=two_stand_by,
        )
        found = rollout_trials.complaints(worlds.played(plan))
        if found:
            completed.append((seed, found))
    assert not completed, completed


def two_stand_by(world: worlds.World) -> None:
    """Let the last two gateways get no callers."""
    world.standby.update(gateway.host for gateway in world.gateways[-2:])


# In the moments in which a version failed, the others failed as well, so that less than
# a finding was left of 9 failures among 29 answers.
@kernel.PROPERTIES.register("a version that fails more often in sum is not promoted")
def fails_in_sum() -> None:
    others = rollout_notes.Counts(judged=400, failed=20)
    for judged, failed, is_blocked in ((30, 9, True), (30, 3, False), (4, 2, False)):
        target = rollout_notes.Counts(judged=judged, failed=failed)
        excess = promotion.failure_excess(target, others)
        readiness = promotion.Readiness(
            target_slots=40,
            other_slots=40,
            answers=judged,
            allowed=10.0,
            suspicion=0.0,
            excess=excess,
        )
        blocker = promotion.promotion_blocker(readiness, NOW, NOW)
        assert (blocker is promotion.Blocker.SUSPECTED) is is_blocked, (target, excess)
    # Where all fail alike nothing speaks against it, however often they do.
    alike = rollout_notes.Counts(judged=100, failed=60)
    assert promotion.failure_excess(alike, alike) == 0.0
