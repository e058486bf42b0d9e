"""A harness for tests of how release notes spread through a fleet."""

import itertools

from oleanderstair.domain.configuration import catalogues, note_values, notes
from oleanderstair.domain.tables import catalogue
from oleanderstair.emulator import harness

DATA_CENTRES = ('trnava', 'nitra', 'senec')


class MonotonicNotesHarness(harness.Harness):
    """A harness that checks that the note in force never gets older.

    ``lag_by_id`` makes the service answer an instance with an older head; the
    value is the number of notes that it lags.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.number_by_incarnation = {}
        self.lag_by_id = {}
        self.read_rule = self.read_lagging

    def _step(self, instance, event):
        super()._step(instance, event)
        incarnation = instance.state.identity.incarnation
        number = instance.state.catalogue.in_force.number
        before = self.number_by_incarnation.get(incarnation, 0)
        assert number >= before, f'{incarnation} reverted to note {number}'
        self.number_by_incarnation[incarnation] = number

    @property
    def latest_number(self):
        return self._number

    def read_lagging(self, reader, name):
        number = max(self._number - self.lag_by_id.get(reader, 0), 0)
        if name == note_values.HEAD_NAME and number != self._number:
            body = self.body_by_name.get(note_values.note_value_name(number))
            if body is None:
                return None
            digest = notes.body_digest(body)
            return b'{"number":%d,"digest":"%s"}' % (number, digest.encode())
        if name == catalogues.INDEX_NAME and number != self._number:
            return None
        return self.body_by_name.get(name)


def note_content(number):
    entry = harness.target_entry(harness.Target(f'burza-{number}'), 'burza')
    if number == 1:
        return harness.first_note({'burza': [harness.Target('burza-1')]})
    return {'added': {'targets': [entry]}}


def create(count, seed, published=3):
    sim = MonotonicNotesHarness(seed)
    for number in range(1, published + 1):
        sim.publish(note_content(number))
    for number in range(count):
        sim.add_instance(
            f'entry-{number}', DATA_CENTRES[number % len(DATA_CENTRES)]
        )
    return sim


def data_centre_of(instance_id):
    return DATA_CENTRES[int(instance_id.rpartition('-')[2]) % len(DATA_CENTRES)]


def numbers_in_force(sim):
    return {
        instance.state.catalogue.in_force.number
        for instance in sim.instance_by_id.values()
    }


def phases_of(sim):
    return {
        instance.state.instances.phase
        for instance in sim.instance_by_id.values()
    }


def publish_compacted(sim):
    compacted = catalogue.empty_catalogue()
    for number in itertools.count(1):
        body = sim.body_by_name.get(note_values.note_value_name(number))
        if body is None:
            break
        note = notes.parse_note(body).ok_value
        compacted = notes.apply_note(compacted, note).ok_value
    for published in catalogues.split_catalogue(compacted).ok_value:
        sim.body_by_name[published.name] = published.body
