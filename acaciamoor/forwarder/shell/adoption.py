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
        self._apply_by_kind = {
            catalogue.routes_kind: self._apply_routes,
            catalogue.upstreams_kind: self._apply_upstream,
        }

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
        apply = self._apply_by_kind[replica.kind]
        for event in events:
            if event.stored is not None:
                apply(event, source)
        if replica.known and replica.kind == self._catalogue.upstreams_kind:
            self._directory.mark_listed(replica.version)

    def _apply_routes(self, event: platform.WatchEvent, source: str) -> None:
        stored = event.stored
        if stored.name != self._catalogue.routes_name:
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

    def _apply_upstream(self, event: platform.WatchEvent, source: str) -> None:
        now = self._clock.monotonic()
        upstream_id = model.UpstreamId(event.stored.name)
        listed = None
        if event.event_type is platform.EventType.PUT:
            listed = self._catalogue.upstream(event.stored)
        if listed is None:
            changed = self._directory.remove_upstream(upstream_id, now)
            state = 'gone'
        else:
            changed = self._directory.put_upstream(listed)
            state = listed.upstream.state.value
        if listed is not None and changed:
            self._core.placer.note_warm_up(upstream_id, listed.warm_up, now)
        if changed:
            _LOG.info(
                'upstream is %s, learned from %s',
                state,
                source,
                extra={'upstream': upstream_id, 'version': event.version},
            )
