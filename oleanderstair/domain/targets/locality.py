"""Indexes the registered targets of a service by data centre."""

from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports


def local_target_ids(state: world.World, service: str) -> tuple[str, ...]:
    """Return the targets of a service in this instance's data centre."""
    _update_index(state)
    placement = (service, state.identity.data_centre)
    return state.loads.ids_by_placement.get(placement, ())


def remote_target_ids(state: world.World, service: str) -> tuple[str, ...]:
    """Return the targets of a service in all other data centres."""
    _update_index(state)
    return state.loads.remote_ids_by_service.get(service, ())


def data_centres(state: world.World) -> frozenset[str]:
    """Return the data centres that have registered targets."""
    _update_index(state)
    return state.loads.data_centres


def data_centre_count(state: world.World) -> int:
    """Return the number of data centres that have targets, at least 1."""
    return max(len(data_centres(state)), 1)


def _update_index(state: world.World) -> None:
    """Rebuild the index if the registry has changed."""
    table = state.loads
    if table.indexed_ids_by_service is state.registry.ids_by_service:
        return
    table.indexed_ids_by_service = state.registry.ids_by_service
    ids_by_placement: dict[load_reports.ServicePlacement, tuple[str, ...]] = {}
    remote_ids: dict[str, tuple[str, ...]] = {}
    for target_id, entry in sorted(state.registry.entry_by_id.items()):
        placement = (entry.service, entry.data_centre)
        ids_by_placement[placement] = (
            *ids_by_placement.get(placement, ()),
            target_id,
        )
        if entry.data_centre != state.identity.data_centre:
            remote_ids[entry.service] = (
                *remote_ids.get(entry.service, ()),
                target_id,
            )
    table.ids_by_placement = ids_by_placement
    table.remote_ids_by_service = remote_ids
    table.data_centres = frozenset(
        placement for _, placement in ids_by_placement
    )
    _remove_unregistered(state)


def _remove_unregistered(state: world.World) -> None:
    """Remove the loads of targets that are no longer registered.

    The load of a target with calls in flight is kept.
    """
    loads = state.loads.load_by_id
    for target_id in loads.keys() - state.registry.entry_by_id.keys():
        if not loads[target_id].in_flight:
            loads.pop(target_id)
