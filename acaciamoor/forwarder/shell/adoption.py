"""Puts changes of the store in force."""

import logging

from acaciamoor import clock as clocks
from acaciamoor import directory as directories
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import replica as replicas
from acaciamoor.forwarder import catalogue as catalogues
from acaciamoor.forwarder import core as cores

_LOG = logging.getLogger(__name__)


class Adoption:
    """Turns objects into routes and upstreams of the directory.

    Parameters
    ----------
    catalogue : Catalogue
        Meaning of the objects.
    directory : Directory
        Kept up to date.
    core : ForwarderCore
        Told which upstreams are still slow.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        catalogue: catalogues.Catalogue,
        directory: directories.Directory,
        core: cores.ForwarderCore,
        clock: clocks.Clock,
    ) -> None:
        self._catalogue = catalogue
        self._directory = directory
        self._core = core
        self._clock = clock

    def take(
        self,
        replica: replicas.Replica,
        events: list[platform.WatchEvent],
        source: str,
    ) -> None:
        """Put events in force that a replica has accepted.

        Parameters
        ----------
        replica : Replica
            Its version is known in full now.
        events : list of WatchEvent
            Changes.
        source : str
            Who told of them, for the log.
        """
        if replica.kind == self._catalogue.routes_kind:
            for event in events:
                self._apply_routes(event, source)
        else:
            self._take_upstreams(events, source)
            if replica.known:
                self._directory.mark_listed(replica.version)

    def _take_upstreams(
        self, events: list[platform.WatchEvent], source: str
    ) -> None:
        first = not self._directory.listed
        for event in events:
            if event.stored is not None:
                state = self._apply_upstream(event)
                if state and not first:
                    _LOG.info(
                        'upstream is %s, learned from %s',
                        state,
                        source,
                        extra={
                            'upstream': event.stored.name,
                            'version': event.version,
                        },
                    )
        if first and events:
            # A line for each upstream would delay a host that starts.
            _LOG.info(
                '%d upstreams learned from %s',
                len(self._directory.listed),
                source,
            )

    def _apply_routes(self, event: platform.WatchEvent, source: str) -> None:
        stored = event.stored
        if stored is None or stored.name != self._catalogue.routes_name:
            return
        if event.event_type is not platform.EventType.PUT:
            _LOG.warning('the configuration was removed; the last one holds')
            return
        table = self._catalogue.routes(stored)
        if table is None:
            _LOG.error('the configuration cannot be read; the last one holds')
        elif self._directory.adopt_routes(table):
            _LOG.info(
                'configuration adopted from %s',
                source,
                extra={'version': table.version},
            )

    def _apply_upstream(self, event: platform.WatchEvent) -> str:
        """Return the new state of the upstream; empty if none has changed."""
        now = self._clock.monotonic()
        upstream_id = model.UpstreamId(event.stored.name)
        listed = None
        if event.event_type is platform.EventType.PUT:
            listed = self._catalogue.upstream(event.stored)
        if listed is None:
            removed = self._directory.remove_upstream(upstream_id, now)
            return 'gone' if removed else ''
        if not self._directory.put_upstream(listed):
            return ''
        self._core.placer.note_warm_up(upstream_id, listed.warm_up, now)
        return listed.upstream.state.value
