"""Plans the orders that bring engines to the state required by the active preset."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from tamarack_core.configuration import Configuration

DEFAULT_MAX_UNAVAILABLE = 1


class Observed(NamedTuple):
    """Last reported state of an engine; `ok` is false if it did not answer."""

    ok: bool
    model: str = ""
    accepting: bool = True
    loading: bool = False
    in_flight: int = 0


class Order(NamedTuple):
    """One order to an engine. It names the desired state, so that repeats are idempotent.

    Attributes
    ----------
    accepting
        Whether the engine should accept new requests.
    model
        Model to load; empty to keep the loaded model.
    """

    endpoint: str
    accepting: bool
    model: str = ""


def wanted_models(config: Configuration) -> dict[str, str]:
    """Model that each engine should have loaded under the active preset."""
    wanted = {}
    for service, entry in sorted(config.entries("service").items()):
        if entry["kind"] != "model":
            continue
        for spec in config.endpoints_of(service):
            wanted[spec.name] = entry.get("model", service)
    return wanted


def plan_orders(config: Configuration, observed: dict[str, Observed]) -> list[Order]:
    """Orders to send now: drain, load, accept; few engines of a service at the same time.

    The planner is stateless: it compares the observed state with the desired one in each call, so
    it recovers from a lost answer, a new lease holder and a restarted engine.
    """
    wanted = wanted_models(config)
    services = {
        spec.name: service
        for service in config.entries("service")
        for spec in config.endpoints_of(service)
    }
    busy = _count_unavailable(wanted, observed, services)
    orders = []
    for endpoint, model in sorted(wanted.items()):
        state = observed.get(endpoint)
        if state is None or not state.ok or state.loading:
            continue
        if state.model == model:
            if not state.accepting:
                orders.append(Order(endpoint, True))
            continue
        if state.accepting:
            # Draining counts against the old service, which the engine still serves, and against
            # the new one, whose model loads would otherwise all queue at the weight store.
            involved = {services[endpoint], config.models.get(state.model, "")}
            if any(busy[name] >= _max_unavailable(config, name) for name in involved if name):
                continue
            busy.update(name for name in involved if name)
            orders.append(Order(endpoint, False))
        elif state.in_flight == 0:
            orders.append(Order(endpoint, False, model))
    return orders


def _max_unavailable(config: Configuration, service: str) -> int:
    entry = config.service(service)
    return entry.get("max_unavailable", DEFAULT_MAX_UNAVAILABLE) if entry else 1


def _count_unavailable(
    wanted: dict[str, str], observed: dict[str, Observed], services: dict[str, str]
) -> Counter[str]:
    busy: Counter[str] = Counter()
    for endpoint in wanted:
        state = observed.get(endpoint)
        if state is None or not state.ok or state.loading or not state.accepting:
            busy[services[endpoint]] += 1
    return busy
