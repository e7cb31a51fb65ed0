"""Replicas that learn from the store and from each other in any order."""

import copy
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.replica.tests import builders

_LONG = os.environ.get('ACACIAMOOR_FUZZ_PROFILE') == 'long'
NAMES = strategies.sampled_from(['a', 'b', 'c', 'd'])
HOSTS = strategies.integers(0, 2)


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Guards against a copy that is no state the store ever was in.

    The oracle is the history of the store: the objects at each version. A
    replica at a version must hold just these, whoever told it, and its
    version never goes back.
    """

    def __init__(self):
        super().__init__()
        self.history = [{}]
        self.events = []
        self.hosts = [replica.Replica(builders.KIND) for _ in range(3)]
        self.versions = [0, 0, 0]

    @property
    def version(self) -> int:
        """Newest version of the store."""
        return len(self.history) - 1

    def store(self, event, objects) -> None:
        """Append a change to the history."""
        self.events.append(event)
        self.history.append(objects)

    def whole(self, version: int) -> replica.Batch:
        """Return a listing at `version`."""
        return builders.whole(
            version,
            *(
                builders.put(name, changed)
                for name, changed in self.history[version].items()
            ),
        )

    @stateful.rule(name=NAMES)
    def write(self, name):
        version = self.version + 1
        objects = dict(self.history[-1], **{name: version})
        self.store(builders.put(name, version), objects)

    @stateful.rule(name=NAMES)
    def remove(self, name):
        objects = dict(self.history[-1])
        if objects.pop(name, None) is not None:
            event = builders.removed(name, self.version + 1)
            self.store(event, objects)

    @stateful.rule(host=HOSTS, age=strategies.integers(0, 6))
    def list_all(self, host, age):
        """Read a listing that may be stale."""
        version = max(0, self.version - age)
        self.hosts[host].apply(self.whole(version))

    @stateful.rule(host=HOSTS, span=strategies.integers(0, 6))
    def wait_for_changes(self, host, span):
        """Get changes from the store, dated as its answers date them."""
        base = self.hosts[host].version
        until = min(self.version, base + span)
        batch = self.answer(base, until)
        self.hosts[host].apply(batch)

    @stateful.rule(host=HOSTS, lag=strategies.integers(1, 4))
    def hear_late(self, host, lag):
        """Get an answer whose base is older than the copy."""
        base = max(0, self.hosts[host].version - lag)
        self.hosts[host].apply(self.answer(base, self.version))

    @stateful.rule(host=HOSTS, lag=strategies.integers(1, 4))
    def miss_changes(self, host, lag):
        """Get an answer whose base is newer than the copy."""
        base = min(self.version, self.hosts[host].version + lag)
        self.hosts[host].apply(self.answer(base, self.version))

    @stateful.rule(source=HOSTS, listener=HOSTS, old=strategies.integers(0, 9))
    def relay(self, source, listener, old):
        """Pass on what a listener lacks, or what it lacked before."""
        if self.hosts[source].known:
            base = max(0, self.hosts[listener].version - old)
            message = replica.Update.of(
                builders.KIND, self.hosts[source].since(base), None
            )
            self.hosts[listener].apply(message.batch())

    @stateful.rule(host=HOSTS)
    def restart(self, host):
        self.hosts[host] = replica.Replica(builders.KIND)
        self.versions[host] = 0

    def answer(self, base: int, until: int) -> replica.Batch:
        """Return the last change of each object; removals dated `until`."""
        events = {}
        for event in self.events[base:until]:
            events[event.stored.name] = event
        dated = [
            builders.removed(event.stored.name, until)
            if event.event_type is platform.EventType.DELETED
            else event
            for event in events.values()
        ]
        dated.sort(
            key=lambda event: (
                event.version,
                event.event_type is platform.EventType.DELETED,
            )
        )
        return replica.Batch(base, until, tuple(dated))

    @stateful.invariant()
    def copies_are_states_of_the_store(self):
        for number, host in enumerate(self.hosts):
            assert host.version >= self.versions[number]
            self.versions[number] = host.version
            if host.known:
                expected = set(self.history[host.version])
                assert host.names == expected, (host.version, expected)
                values = copy.copy(host._objects_by_name)
                assert {
                    name: stored.version for name, stored in values.items()
                } == self.history[host.version]


ReplicaTest = ReplicaMachine.TestCase
ReplicaTest.settings = hypothesis.settings(
    max_examples=2000 if _LONG else 120,
    stateful_step_count=40,
    deadline=None,
    derandomize=not _LONG,
)
