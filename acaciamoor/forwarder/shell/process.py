"""A forwarder as a process."""

import asyncio
import dataclasses
import datetime
import logging
import random
import signal

from acaciamoor import clock as clocks
from acaciamoor import directory as directories
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import sockets
from acaciamoor.forwarder import catalogue as catalogues
from acaciamoor.forwarder import core as cores
from acaciamoor.forwarder import packet as packets
from acaciamoor.forwarder.shell import adoption
from acaciamoor.forwarder.shell import driver as drivers
from acaciamoor.forwarder.shell import following as followings
from acaciamoor.forwarder.shell import readiness

_LOG = logging.getLogger(__name__)
# Larger than any packet with its header.
_DATAGRAM_BYTES = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Addresses and limits of a forwarder.

    Parameters
    ----------
    core : CoreSettings
        Limits of the decisions.
    listen : Address
        Where packets of callers arrive.
    readiness_address : Address
        Where the fabric asks whether the host takes packets.
    leave_after : datetime.timedelta
        Time for which a host that was told to end goes on forwarding. The
        fabric notices after two checks that are 0.5 s apart.
    following : FollowingSettings
        How routes and upstreams are followed.
    """

    core: cores.CoreSettings
    following: followings.FollowingSettings
    listen: model.Address
    readiness_address: model.Address
    leave_after: datetime.timedelta = datetime.timedelta(seconds=2.5)


class ForwarderProcess:
    """Forwards packets until it is told to end.

    Parameters
    ----------
    settings : ProcessSettings
        Addresses and limits.
    codec : PacketCodec
        Wire form of packets.
    patient, frequent : Transport
        Calls to the platform's store; see `Following`.
    catalogue : Catalogue
        Objects of the store that are followed.
    clock : Clock
        Source of time.
    random_source : random.Random
        Breaks ties and spreads calls.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        codec: packets.PacketCodec,
        patient: platform.Transport,
        frequent: platform.Transport,
        catalogue: catalogues.Catalogue,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._directory = directories.Directory()
        self._core = cores.ForwarderCore(
            settings.core, self._directory, random_source
        )
        self._driver = drivers.Driver(
            self._core,
            codec,
            sockets.DatagramSocket(
                settings.listen.ip, settings.listen.port, _DATAGRAM_BYTES
            ),
            clock,
            settings.core.pause,
        )
        self._following = followings.Following(
            settings.following,
            catalogue,
            patient,
            frequent,
            adoption.Adoption(catalogue, self._directory, self._core, clock),
            clock,
            random_source,
        )
        self._driver.on_resume = self._following.restart
        self._leaving = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the host takes new packets."""
        return self._directory.complete and not self._leaving.is_set()

    async def run(self) -> None:
        """Forward until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leaving.set)
        loop.add_signal_handler(signal.SIGHUP, _LOG.info, 'settings read')
        endpoint = readiness.ReadinessEndpoint(
            self._settings.readiness_address, lambda: self.ready
        )
        await endpoint.start()
        self._driver.start(loop)
        following = asyncio.create_task(self._following.run())
        _LOG.info('started')
        await self._leaving.wait()
        _LOG.info('leaving')
        await asyncio.sleep(self._settings.leave_after.total_seconds())
        following.cancel()
        endpoint.close()
        self._driver.close(loop)
        _LOG.info('stopped %s', dict(self._driver.counts_by_outcome))
