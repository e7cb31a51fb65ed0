"""Applies changes from the store to the directory."""

import collections.abc
import datetime
import logging

from acaciamoor import clock as clocks
from acaciamoor import directory as directories
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor.forwarder import core as cores
from acaciamoor.forwarder import store_schema as schemas
from acaciamoor.platform import versions

_LOG = logging.getLogger(__name__)


# Changes to the same state in one batch above which they share a log line.
_MAX_LINES_PER_STATE = 4
# Time for which an evacuation stays in force that a restored store lacks. As
# after an outage, other writers have noticed and repeated what was lost by
# then.
_RESTORATION_GRACE = datetime.timedelta(seconds=2)
_ZERO = datetime.timedelta(0)
_MS = datetime.timedelta(milliseconds=1)


class DirectoryUpdater:
    """Updates routes and upstreams of the directory from stored objects.

    Parameters
    ----------
    schema : StoreSchema
        Layout of the objects.
    directory : Directory
        Directory to update.
    core : ForwarderCore
        Receives the warm-up times of upstreams.
    clock : Clock
        Source of time.
    on_change : callable
        Called when changes have been applied.
    """

    def __init__(
        self,
        schema: schemas.StoreSchema,
        directory: directories.Directory,
        core: cores.ForwarderCore,
        clock: clocks.Clock,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._schema = schema
        self._directory = directory
        self._core = core
        self._clock = clock
        self._on_change = on_change
        self._evacuations_era: int | None = None

    def apply(
        self,
        replica: replicas.Replica,
        events: list[platform.WatchEvent],
        source: str,
        failed_at: datetime.timedelta | None = None,
    ) -> None:
        """Apply events that a replica has accepted.

        The confirmation of the replica is the last one before the events.

        Parameters
        ----------
        replica : Replica
            Replica that the events were applied to.
        events : list of WatchEvent
            Accepted changes.
        source : str
            Name of the store or relay that sent them, for the log.
        failed_at : datetime.timedelta or None
            Start of the last call to the store that failed; None if none has.
        """
        if replica.kind == self._schema.routes_kind:
            for event in events:
                self._apply_routes(event, source)
        elif replica.kind == self._schema.evacuations_kind:
            self._apply_evacuations(replica, events, source)
        else:
            confirmation = replica.confirmation
            contact = directories.StoreContact(
                None if confirmation is None else confirmation.at, failed_at
            )
            self._apply_upstreams(events, source, contact)
            if replica.initialized:
                self._directory.confirm_entries(replica.version)
        if events:
            self._on_change()

    def set_local_hosts(self, count: int) -> None:
        """Record how many hosts share the callers of the data centre."""
        self._core.placer.local_hosts = count

    def set_known_hosts(
        self,
        hosts_by_data_centre: collections.abc.Mapping[
            model.DataCentre, tuple[model.HostId, ...]
        ],
    ) -> None:
        """Record which hosts share the pace at upstreams in warm-up."""
        now = self._clock.monotonic()
        if self._core.pacer.update_hosts(hosts_by_data_centre, now):
            _LOG.info(
                '%d hosts share the pace of upstreams in warm-up',
                sum(len(hosts) for hosts in hosts_by_data_centre.values()),
                extra={
                    'hosts': ' '.join(
                        f'{data_centre}:{len(hosts)}'
                        for data_centre, hosts in hosts_by_data_centre.items()
                    ),
                },
            )

    def _apply_evacuations(
        self,
        replica: replicas.Replica,
        events: list[platform.WatchEvent],
        source: str,
    ) -> None:
        now = self._clock.monotonic()
        era = versions.get_era(replica.version)
        restored = era > (
            era if self._evacuations_era is None else self._evacuations_era
        )
        self._evacuations_era = era
        confirmation = replica.confirmation
        for event in events:
            if event.stored is None:
                continue
            data_centre = None
            if event.event_type is platform.EventType.PUT:
                data_centre = self._schema.decode_evacuation(event.stored)
            if data_centre is not None:
                changed = self._directory.begin_evacuation(data_centre)
                state = 'is evacuated'
            else:
                changed = self._directory.end_evacuation(
                    model.DataCentre(event.stored.name),
                    now + (_RESTORATION_GRACE if restored else _ZERO),
                )
                state = 'is taken back'
            if changed:
                _LOG.info(
                    'data centre %s, learned from %s',
                    state,
                    source,
                    extra={
                        'data_centre_affected': event.stored.name,
                        'version': versions.format_version(event.version),
                        # The store acknowledged it since its last statement
                        # about the list; -1 if there is none.
                        'acknowledged_within_ms': -1
                        if confirmation is None
                        else (now - confirmation.at) // _MS,
                        'restored_store': restored,
                    },
                )
        if replica.initialized:
            self._directory.confirm_evacuations()

    def _apply_upstreams(
        self,
        events: list[platform.WatchEvent],
        source: str,
        contact: directories.StoreContact,
    ) -> None:
        initial = not self._directory.entries_by_id
        changed_by_state: dict[str, list[platform.StoredObject]] = {}
        for event in events:
            if event.stored is not None:
                state = self._apply_upstream_safely(event, contact)
                if state:
                    changed_by_state.setdefault(state, []).append(event.stored)
        if initial and events:
            # One line for each upstream would slow down the start of a host.
            _LOG.info(
                '%d upstreams learned from %s',
                len(self._directory.entries_by_id),
                source,
            )
            return
        for state, changed in changed_by_state.items():
            _log_upstreams(state, changed, source)

    def _apply_routes(self, event: platform.WatchEvent, source: str) -> None:
        stored = event.stored
        if stored is None or stored.name != self._schema.routes_name:
            return
        if event.event_type is not platform.EventType.PUT:
            _LOG.warning('the configuration was deleted; keeping the last one')
            return
        table = self._schema.decode_routes(stored)
        if table is None:
            _LOG.error('the configuration is malformed; keeping the last one')
        elif self._directory.adopt_routes(table):
            _LOG.info(
                'configuration adopted from %s',
                source,
                extra={'version': table.version},
            )

    def _apply_upstream_safely(
        self,
        event: platform.WatchEvent,
        contact: directories.StoreContact,
    ) -> str:
        # The replica has accepted the whole batch: events after one that fails
        # would be lost for good.
        try:
            return self._apply_upstream(event, contact)
        except Exception:
            _LOG.exception(
                'upstream %s is not used: its entry cannot be processed',
                event.stored.name,
            )
            self._directory.remove_upstream(
                model.UpstreamId(event.stored.name),
                self._clock.monotonic(),
                contact,
            )
            return ''

    def _apply_upstream(
        self,
        event: platform.WatchEvent,
        contact: directories.StoreContact,
    ) -> str:
        """Apply a change; return the new state, empty if nothing changed."""
        now = self._clock.monotonic()
        upstream_id = model.UpstreamId(event.stored.name)
        entry = None
        if event.event_type is platform.EventType.PUT:
            entry = self._schema.decode_upstream(event.stored)
        if entry is None:
            removed = self._directory.remove_upstream(
                upstream_id, now, contact
            )
            return 'gone' if removed else ''
        if not self._directory.put_upstream(entry):
            return ''
        self._core.placer.set_warm_up(
            upstream_id, entry.remaining_warm_up, now
        )
        self._core.pacer.set_warm_up(upstream_id, entry.remaining_warm_up, now)
        return entry.upstream.state.value


def _log_upstreams(
    state: str, changed: list[platform.StoredObject], source: str
) -> None:
    if len(changed) > _MAX_LINES_PER_STATE:
        # When a site starts, each host learns of all upstreams in a second.
        _LOG.info(
            '%d upstreams are %s, learned from %s',
            len(changed),
            state,
            source,
            extra={
                'upstreams': ' '.join(stored.name for stored in changed),
                'version': versions.format_version(
                    max(stored.version for stored in changed)
                ),
            },
        )
        return
    for stored in changed:
        _LOG.info(
            'upstream is %s, learned from %s',
            state,
            source,
            extra={
                'upstream': stored.name,
                'version': versions.format_version(stored.version),
            },
        )
