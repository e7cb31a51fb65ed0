"""Replicas that receive batches from the store and from each other."""

import copy
import datetime
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
    """Guards against replicas that match no state of the store.

    The oracle is the history of the store: the objects at each version. A
    replica at a version must hold exactly these objects, regardless of the
    source of its batches, and its version must never decrease.
    """

    def __init__(self):
        super().__init__()
        self.history = [{}]
        self.events = []
        self.hosts = [replica.Replica(builders.KIND) for _ in range(3)]
        self.versions = [0, 0, 0]

    @property
    def version(self) -> int:
        """Current version of the store."""
        return len(self.history) - 1

    def append(self, event, objects) -> None:
        """Append a change to the history."""
        self.events.append(event)
        self.history.append(objects)

    def snapshot(self, version: int) -> replica.Batch:
        """Return a snapshot of the store at `version`."""
        return builders.snapshot(
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
        self.append(builders.put(name, version), objects)

    @stateful.rule(name=NAMES)
    def remove(self, name):
        objects = dict(self.history[-1])
        if objects.pop(name, None) is not None:
            event = builders.deleted(name, self.version + 1)
            self.append(event, objects)

    @stateful.rule(host=HOSTS, age=strategies.integers(0, 6))
    def apply_stale_listing(self, host, age):
        """Apply a listing that may be stale."""
        version = max(0, self.version - age)
        self.hosts[host].apply(self.snapshot(version))

    @stateful.rule(host=HOSTS, span=strategies.integers(0, 6))
    def apply_changes(self, host, span):
        """Apply changes that start at the version of the replica."""
        base = self.hosts[host].version
        until = min(self.version, base + span)
        batch = self.changes(base, until)
        self.hosts[host].apply(batch)

    @stateful.rule(host=HOSTS, lag=strategies.integers(1, 4))
    def apply_overlapping_changes(self, host, lag):
        """Apply changes whose base is older than the replica."""
        base = max(0, self.hosts[host].version - lag)
        self.hosts[host].apply(self.changes(base, self.version))

    @stateful.rule(host=HOSTS, lag=strategies.integers(1, 4))
    def apply_changes_after_a_gap(self, host, lag):
        """Apply changes whose base is newer than the replica."""
        base = min(self.version, self.hosts[host].version + lag)
        self.hosts[host].apply(self.changes(base, self.version))

    @stateful.rule(source=HOSTS, listener=HOSTS, lag=strategies.integers(0, 9))
    def relay(self, source, listener, lag):
        """Relay the changes since the listener's version or an older one."""
        if self.hosts[source].initialized:
            base = max(0, self.hosts[listener].version - lag)
            message = replica.Update.from_batch(
                self.hosts[source],
                self.hosts[source].changes_since(base),
                datetime.timedelta(0),
            )
            self.hosts[listener].apply(message.to_batch())

    @stateful.rule(host=HOSTS)
    def restart(self, host):
        self.hosts[host] = replica.Replica(builders.KIND)
        self.versions[host] = 0

    def changes(self, base: int, until: int) -> replica.Batch:
        """Return the last change of each object, as the store does.

        All deletions have the version `until`.
        """
        events = {}
        for event in self.events[base:until]:
            events[event.stored.name] = event
        changes = [
            builders.deleted(event.stored.name, until)
            if event.event_type is platform.EventType.DELETED
            else event
            for event in events.values()
        ]
        changes.sort(
            key=lambda event: (
                event.version,
                event.event_type is platform.EventType.DELETED,
            )
        )
        return replica.Batch(base, until, tuple(changes))

    @stateful.invariant()
    def replicas_match_the_history(self):
        for number, host in enumerate(self.hosts):
            assert host.version >= self.versions[number]
            self.versions[number] = host.version
            if host.initialized:
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
