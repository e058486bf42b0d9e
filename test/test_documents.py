"""Decoding of items of the platform's store, valid and invalid."""

import base64
import json

import pytest
import result

from oleanderstair.platform import documents

TARGET = {
    'service': 'svc',
    'address': '10.1.0.3:8200',
    'data_centre': 'a',
    'number': '2.1',
    'slots': 4,
    'state': 'ready',
    'sequence': 7,
    'slow_ms': 1500,
    'born': 1775244779300,
}
ROUTE = {
    'name': 'r1',
    'host': 'h',
    'prefix': '/a/',
    'kind': 'idempotent',
    'timeout_ms': 1000,
    'aim_ms': 250,
    'rank': 0,
    'max_attempts': 2,
    'split': [{'service': 'svc', 'weight': 3}],
}
CONFIGURATION = {
    'number': 4,
    'routes': [ROUTE],
    'services': [{'name': 'svc', 'health_path': '/h', 'connections': 9}],
    'limits': {
        'max_header_bytes': 1000,
        'max_body_bytes': 1000,
        'header_time_ms': 1000,
        'idle_ms': 1000,
    },
}


def item(document, key='servers/i-1'):
    text = json.dumps(document).encode()
    return documents.Item(key, 5, base64.b64encode(text).decode())


def test_target_has_its_start_time_and_slow_start():
    entry = documents.read_target(item(TARGET), 1000).ok_value
    assert (entry.target_id, entry.born_ms) == ('i-1', TARGET['born'])
    assert entry.slow_start_until_ms == 2500
    assert not entry.leaving


# Such an entry took over the id of another service's target, which then ran
# calls of routes that don't lead to it.
@pytest.mark.parametrize('field', sorted(TARGET))
def test_target_without_one_of_its_fields_is_refused(field):
    left = {name: TARGET[name] for name in TARGET if name != field}
    problem = documents.read_target(item(left), 0).err_value
    assert field in problem.what


@pytest.mark.parametrize(
    'invalid_fields',
    [
        {'state': 'new'},
        {'slots': 0},
        {'slots': 'four'},
        {'address': 'nowhere'},
        {'service': ''},
        {'born': 'today'},
        {'slow_ms': -1},
        {'slow_ms': 1e308},
        {'slots': 10_001},
        {'slots': 2**64},
        {'slots': 10**400},
        {'born': 2**64},
        {'born': -1},
        {'sequence': 2**64},
        {'address': '10.1.0.3:99999'},
        {'address': '10.1.0.3:0'},
        {'address': '999.1.1.1:80'},
        {'address': '10.1.0.3:80\n'},
        {'address': '10.1.0.\u0663:80'},
    ],
)
def test_invalid_entry_is_refused_with_its_key(invalid_fields):
    read = documents.read_target(item({**TARGET, **invalid_fields}), 0)
    assert isinstance(read, result.Err)
    assert read.err_value.where == 'servers/i-1'


def test_id_that_breaks_a_header_is_refused():
    unusable = item(TARGET, 'servers/i-1\r\nHost: other')
    assert isinstance(documents.read_target(unusable, 0), result.Err)


@pytest.mark.parametrize(
    'edit',
    [
        lambda tree: tree.update(number=2**64),
        lambda tree: tree['routes'][0].update(timeout_ms=1e308),
        lambda tree: tree['routes'][0]['split'][0].update(weight=10**400),
        lambda tree: tree['limits'].update(max_body_bytes=-1),
    ],
)
def test_configuration_with_a_value_out_of_range_is_refused(edit):
    tree = json.loads(json.dumps(CONFIGURATION))
    edit(tree)
    assert isinstance(documents.read_configuration(item(tree)), result.Err)


@pytest.mark.parametrize('value', ['', '!!', 'e30=', 'AAEC'])
def test_undecodable_value_is_refused(value):
    unreadable = documents.Item('servers/i-1', 5, value)
    assert isinstance(documents.read_target(unreadable, 0), result.Err)
    assert isinstance(documents.read_configuration(unreadable), result.Err)


# Guards against a RecursionError that ends the read of the whole store.
@pytest.mark.parametrize('document', [TARGET, CONFIGURATION])
@pytest.mark.parametrize('field', ['number', 'unknown'])
def test_document_nested_too_deep_is_refused(document, field):
    nested = {**document, field: 'here'}
    text = json.dumps(nested).replace('"here"', '[' * 1500 + ']' * 1500)
    value = base64.b64encode(text.encode()).decode()
    unreadable = documents.Item('key', 5, value)
    assert isinstance(documents.read_target(unreadable, 0), result.Err)
    assert isinstance(documents.read_configuration(unreadable), result.Err)
    assert documents.configuration_number_of(unreadable) == 0


def test_entry_with_a_missing_field_is_refused():
    missing = {**TARGET}
    missing.pop('data_centre')
    assert isinstance(documents.read_target(item(missing), 0), result.Err)


def test_configuration_is_read_completely():
    found = documents.read_configuration(item(CONFIGURATION, 'op/config'))
    routing = found.ok_value
    found_routes = routing.routes_by_host['h']
    assert routing.number == 4
    assert [route.parts[0].weight for route in found_routes] == [3]
    assert routing.service_by_name['svc'].connections == 9


def read_with_kind(kind):
    document = {**CONFIGURATION, 'routes': [{**ROUTE, 'kind': kind}]}
    return documents.read_configuration(item(document, 'op/config'))


def test_download_route_is_idempotent():
    route = read_with_kind('download').ok_value.routes_by_host['h'][0]
    assert route.idempotent


@pytest.mark.parametrize('kind', ['stream', 'a-later-kind'])
def test_route_of_unknown_kind_is_served_as_not_idempotent(kind):
    routing = read_with_kind(kind).ok_value
    assert not routing.routes_by_host['h'][0].idempotent
    assert routing.unknown_kinds == (kind,)


def test_kind_that_is_not_a_string_refuses_the_configuration():
    read = read_with_kind(7)
    assert isinstance(read, result.Err)
    assert 'kind' in read.err_value.message
