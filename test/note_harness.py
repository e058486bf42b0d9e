"""A fleet that is steered by notes, for tests of how notes spread."""

import itertools

from oleanderstair.domain.configuration import catalogues, notes, spread
from oleanderstair.domain.tables import catalogue
from oleanderstair.emulator import harness

PLACES = ('trnava', 'nitra', 'senec')


class Watched(harness.Harness):
    """A harness that checks after each step that no number fell."""

    def __init__(self, seed):
        super().__init__(seed)
        self.highest_by_incarnation = {}
        self.lag_by_id = {}
        self.read_rule = self.read_stale

    def _step(self, instance, event):
        super()._step(instance, event)
        incarnation = instance.state.identity.incarnation
        number = instance.state.catalogue.in_force.number
        before = self.highest_by_incarnation.get(incarnation, 0)
        assert number >= before, f'{incarnation} fell to note {number}'
        self.highest_by_incarnation[incarnation] = number

    @property
    def latest(self):
        return self._number

    def read_stale(self, reader, name):
        number = max(self._number - self.lag_by_id.get(reader, 0), 0)
        if name == spread.HEAD_NAME and number != self._number:
            body = self.body_by_name.get(spread.note_name(number))
            if body is None:
                return None
            digest = notes.digest(body)
            return b'{"number":%d,"digest":"%s"}' % (number, digest.encode())
        if name == catalogues.INDEX_NAME and number != self._number:
            return None
        return self.body_by_name.get(name)


def note_of(number):
    entry = harness.target_entry(harness.Target(f'burza-{number}'), 'burza')
    if number == 1:
        return harness.first_note({'burza': [harness.Target('burza-1')]})
    return {'added': {'targets': [entry]}}


def make(count, seed, published=3):
    made = Watched(seed)
    for number in range(1, published + 1):
        made.publish(note_of(number))
    for number in range(count):
        made.add_instance(f'entry-{number}', PLACES[number % len(PLACES)])
    return made


def place_of(instance_id):
    return PLACES[int(instance_id.rpartition('-')[2]) % len(PLACES)]


def numbers(made):
    return {
        instance.state.catalogue.in_force.number
        for instance in made.instance_by_id.values()
    }


def phases(made):
    return {
        instance.state.instances.phase
        for instance in made.instance_by_id.values()
    }


def publish_compacted(made):
    whole = catalogue.empty()
    for number in itertools.count(1):
        body = made.body_by_name.get(spread.note_name(number))
        if body is None:
            break
        note = notes.parse(body).ok_value
        whole = notes.apply_note(whole, note).ok_value
    for published in catalogues.split(whole).ok_value:
        made.body_by_name[published.name] = published.body
