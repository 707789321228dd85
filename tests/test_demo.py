"""The load of the demo, whose shares are compared with the fair ones."""

from __future__ import annotations

import pytest

from tamarack_bench.demo import plans_for
from tamarack_standins.deployments import DEPLOYMENTS


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_large_workspaces_have_more_callers_than_their_share_of_slots(name: str) -> None:
    """Failure: the demo reports a broken promise though shares are fair.

    A workspace whose callers all run at once has nothing waiting, and others get what it leaves.
    """
    deployment = DEPLOYMENTS[name]
    [model] = [service for service in deployment.services if service.kind == "model"]
    slots = (model.endpoints - model.old) * model.slots + model.old * model.slots // 2
    callers = {plan.workspace: plan.callers for plan in plans_for(deployment)}
    for workspace in deployment.large:
        assert callers[workspace] >= 2 * slots / len(deployment.large)
