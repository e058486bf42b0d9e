"""Indexes the registered targets of a service by data centre.

Targets of closed data centres are left out, see ``evacuations``: where most
targets are in one, a random sample of all would find few others.
"""

from oleanderstair.domain import world
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import evacuations


def local_target_ids(state: world.World, service: str) -> tuple[str, ...]:
    """Return the targets of a service in this instance's data centre.

    Empty if it is closed.
    """
    _update_index(state)
    placement = (service, state.identity.data_centre)
    return state.loads.ids_by_placement.get(placement, ())


def remote_target_ids(state: world.World, service: str) -> tuple[str, ...]:
    """Return the targets of a service in all other open data centres."""
    _update_index(state)
    return state.loads.remote_ids_by_service.get(service, ())


def is_service_closed(state: world.World, service: str) -> bool:
    """Return whether a service has targets, but none in an open data centre."""
    if not state.operator_state.closed_data_centres:
        return False
    has_open_target = bool(
        local_target_ids(state, service) or remote_target_ids(state, service)
    )
    return not has_open_target and service in state.registry.ids_by_service


def data_centres(state: world.World) -> frozenset[str]:
    """Return the data centres that have registered targets, also closed ones.

    They tell which instances there are, and those go on serving.
    """
    _update_index(state)
    return state.loads.data_centres


def data_centre_count(state: world.World) -> int:
    """Return the number of data centres that have targets, at least 1."""
    return max(len(data_centres(state)), 1)


def _update_index(state: world.World) -> None:
    """Rebuild the index if the registry or the closed data centres changed."""
    table = state.loads
    closed = state.operator_state.closed_data_centres
    if (
        table.indexed_ids_by_service is state.registry.ids_by_service
        and table.indexed_closed is closed
    ):
        return
    table.indexed_ids_by_service = state.registry.ids_by_service
    table.indexed_closed = closed
    ids_by_placement: dict[load_reports.ServicePlacement, tuple[str, ...]] = {}
    remote_ids: dict[str, tuple[str, ...]] = {}
    data_centres: set[str] = set()
    for target_id, entry in sorted(state.registry.entry_by_id.items()):
        data_centres.add(entry.data_centre)
        if evacuations.is_closed(state, entry.data_centre):
            continue
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
    table.data_centres = frozenset(data_centres)
    _remove_unregistered(state)


def _remove_unregistered(state: world.World) -> None:
    """Remove the loads of targets that are no longer registered.

    The load of a target with calls in flight is kept.
    """
    loads = state.loads.load_by_id
    for target_id in loads.keys() - state.registry.entry_by_id.keys():
        if not loads[target_id].in_flight:
            loads.pop(target_id)
