"""Finds the registered targets of a service, near ones and far ones."""

from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports


def near_ids(state: world.World, service: str) -> tuple[str, ...]:
    """Return the targets of a service in the own data centre."""
    _index(state)
    place = (service, state.identity.data_centre)
    return state.loads.ids_by_place.get(place, ())


def far_ids(state: world.World, service: str) -> tuple[str, ...]:
    """Return the targets of a service in all other data centres."""
    _index(state)
    return state.loads.far_ids_by_service.get(service, ())


def data_centres(state: world.World) -> frozenset[str]:
    """Return the data centres in which there are targets."""
    _index(state)
    return state.loads.data_centres


def count(state: world.World) -> int:
    """Return in how many data centres there are targets, at least 1."""
    return max(len(data_centres(state)), 1)


def _index(state: world.World) -> None:
    """Sort the registered targets by place, once for each new registry."""
    table = state.loads
    if table.indexed is state.registry.ids_by_service:
        return
    table.indexed = state.registry.ids_by_service
    by_place: dict[load_reports.Place, tuple[str, ...]] = {}
    far: dict[str, tuple[str, ...]] = {}
    for target_id, entry in sorted(state.registry.entry_by_id.items()):
        place = (entry.service, entry.data_centre)
        by_place[place] = (*by_place.get(place, ()), target_id)
        if entry.data_centre != state.identity.data_centre:
            far[entry.service] = (*far.get(entry.service, ()), target_id)
    table.ids_by_place = by_place
    table.far_ids_by_service = far
    table.data_centres = frozenset(place for _, place in by_place)
    _forget_gone(state)


def _forget_gone(state: world.World) -> None:
    """Drop what is known of targets that are registered no more."""
    loads = state.loads.load_by_id
    for gone in loads.keys() - state.registry.entry_by_id.keys():
        if not loads[gone].in_flight:
            loads.pop(gone)
