"""Builders of changes and of a platform with several operators."""

import asyncio
import collections.abc
import dataclasses
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.model import documents
from acaciamoor.model import status
from acaciamoor.model.tests import builders
import acaciamoor.operator as operator
import acaciamoor.platform as platform
from acaciamoor.platform.tests import builders as platform_builders
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables

WrapTransport = collections.abc.Callable[
    [platform.Transport], platform.Transport
]


def identity(transport: platform.Transport) -> platform.Transport:
    """Return `transport` without a wrapper."""
    return transport


async def yield_to_other_operators(write: platform.Write) -> None:
    """Let the tasks of other operators run before a write."""
    await asyncio.sleep(0)


@dataclasses.dataclass
class Site:
    """A platform that is shared by several operators.

    Parameters
    ----------
    wrap_transport : Callable
        Wraps the transport of every operator, for example with the baseline
        that writes unconditionally.
    table : ObjectTable
        Objects on the platform.
    clock : ManualClock
        Clock of all operators.
    """

    wrap_transport: WrapTransport = identity
    table: tables.ObjectTable = dataclasses.field(
        default_factory=tables.ObjectTable
    )
    clock: clocks.ManualClock = dataclasses.field(
        default_factory=clocks.ManualClock
    )

    def new_operator(
        self, seed: int = 1, plan: memory.FaultPlan | None = None
    ) -> tuple[operator.ServiceEditor, memory.MemoryTransport]:
        """Return an operator and its transport, which fails as planned."""
        transport = memory.MemoryTransport(self.table, plan)
        store = platform.PlatformStore(
            self.wrap_transport(transport),
            random.Random(seed),
            platform_builders.no_sleep,
        )
        return operator.ServiceEditor(store, self.clock), transport

    def editor(self, seed: int = 1) -> operator.ServiceEditor:
        """Return an operator whose calls do not fail."""
        return self.new_operator(seed)[0]

    def evacuation_editor(
        self, seed: int = 1, plan: memory.FaultPlan | None = None
    ) -> operator.EvacuationEditor:
        """Return an operator of evacuations, whose calls fail as planned.

        Other operators run before each of its writes.
        """
        transport = memory.MemoryTransport(self.table, plan)
        transport.before_write = yield_to_other_operators
        store = platform.PlatformStore(
            transport, random.Random(seed), platform_builders.no_sleep
        )
        return operator.EvacuationEditor(store, self.clock)

    def evacuated(self) -> list[str]:
        """Return the names of the evacuated data centres."""
        listing = self.table.listing(documents.EVACUATION_KIND)
        return sorted(stored.name for stored in listing.objects)

    def service(self, name: str = 'order-desk') -> model.Service | None:
        """Return the service, or None if it is not active."""
        stored = self.table.read(documents.SERVICE_KIND, name)
        document = documents.parse_service(name, stored.value)
        return document.to_service(stored.version)

    def confirm(
        self, version: int, data_centre: str = builders.DATA_CENTRE
    ) -> None:
        """Write that `version` is in force in a data centre."""
        document = documents.DataCentreStatusDocument.of(
            status.DataCentreStatus(model.DataCentre(data_centre), version)
        )
        self.table.write_unconditionally(
            platform.Write(
                documents.STATUS_KIND,
                data_centre,
                documents.to_json(document),
                (),
            )
        )


def creation(
    name: str = 'order-desk',
    port: int = 8001,
    ports: tuple[int, ...] = (9001,),
) -> operator.CreateService:
    """Return the creation of a service with an upstream at each of `ports`."""
    service = model.Service(
        service_id=model.ServiceId(1),
        name=name,
        address=model.Address('127.0.0.1', port),
        upstreams_by_id={
            model.UpstreamId(f'desk-{item}'): builders.upstream(
                f'desk-{item}', port=item
            )
            for item in ports
        },
    )
    return operator.CreateService(
        name=name,
        requested_by='ann',
        document=documents.ServiceDocument.of(service),
    )


def addition(
    port: int,
    name: str = 'order-desk',
    expected_version: int = 0,
    data_centre: str = builders.DATA_CENTRE,
) -> operator.AddUpstream:
    """Return the addition of an upstream that listens on `port`."""
    return operator.AddUpstream(
        name=name,
        requested_by='bob',
        expected_version=expected_version,
        upstream=builders.upstream(
            f'desk-{port}',
            port=port,
            data_centre=model.DataCentre(data_centre),
        ),
    )


def drain(
    port: int, name: str = 'order-desk', expected_version: int = 0
) -> operator.DrainUpstream:
    """Return the drain of the upstream that listens on `port`."""
    return operator.DrainUpstream(
        name=name,
        requested_by='cho',
        expected_version=expected_version,
        upstream_id=model.UpstreamId(f'desk-{port}'),
    )


def removal(port: int, name: str = 'order-desk') -> operator.RemoveUpstream:
    """Return the removal of the upstream that listens on `port`."""
    return operator.RemoveUpstream(
        name=name,
        requested_by='cho',
        upstream_id=model.UpstreamId(f'desk-{port}'),
    )


def evacuation(
    data_centre: str = builders.DATA_CENTRE, requested_by: str = 'ann'
) -> operator.EvacuateDataCentre:
    """Return the evacuation of a data centre."""
    return operator.EvacuateDataCentre(
        name=data_centre, requested_by=requested_by
    )


def take_back(
    data_centre: str = builders.DATA_CENTRE, expected_version: int = 0
) -> operator.TakeBackDataCentre:
    """Return the end of the evacuation of a data centre."""
    return operator.TakeBackDataCentre(
        name=data_centre, requested_by='bob', expected_version=expected_version
    )
