"""Builders of pictures and controllers for tests."""

import datetime
import random

import msgspec

from acaciamoor import admission
from acaciamoor import capacity
from acaciamoor import directory
from acaciamoor import load_reports
from acaciamoor import model

SECOND = datetime.timedelta(seconds=1)
SERVICE = 'order-board'
DATA_CENTRE = model.DataCentre('kgn-a')
IMPORTANT, LESS_IMPORTANT = 1, 2


class SlotCapacity:
    """Capacity of upstreams that take as many requests as they have slots."""

    def estimate(self, upstream_id, now) -> capacity.Capacity:
        """Return what an upstream takes."""
        return capacity.Capacity(2.0, 60.0, 0.033, True)


def entries(count: int) -> list[directory.UpstreamEntry]:
    """Return upstreams with two slots each."""
    return [
        directory.UpstreamEntry(
            model.Upstream(
                model.UpstreamId(f'board-{number}'),
                DATA_CENTRE,
                model.Address('127.0.0.1', 9000 + number),
                slots=2,
            ),
            service=SERVICE,
            wire_id=number + 1,
            revision=1,
        )
        for number in range(count)
    ]


def route_table(*priorities: int, version: int = 1) -> directory.RouteTable:
    """Return a route to the service for each priority."""
    routes = [
        directory.Route(
            f'route-{priority}',
            (0xC6120001, 443 + number),
            {SERVICE: 1.0},
            priority=priority,
        )
        for number, priority in enumerate(priorities)
    ]
    return directory.RouteTable(
        version, {route.address: route for route in routes}
    )


class Site:
    """A host with ten upstreams, and the summaries that it receives."""

    def __init__(self, priorities=(IMPORTANT, LESS_IMPORTANT), seed=1) -> None:
        self.picture = load_reports.LoadPicture(DATA_CENTRE)
        self.controller = admission.AdmissionController(
            self.picture,
            SlotCapacity(),
            lambda service, now: entries(10),
            random.Random(seed),
        )
        self.controller.update_routes(route_table(*priorities))
        self._summary = load_reports.LoadSummary(
            DATA_CENTRE, 'h-1', 1, 0, 75, 0.1, 0.2
        )

    def report(
        self,
        at,
        in_progress,
        demands,
        *,
        interval=0.2,
        sender='h-1',
        hosts=75,
        age=0.1,
        data_centre=DATA_CENTRE,
        **counts,
    ) -> None:
        """Receive a summary; `demands` are openings and refused ones."""
        self._summary = msgspec.structs.replace(
            self._summary,
            data_centre=data_centre,
            sender=sender,
            hosts=hosts,
            age=age,
            interval=interval,
            serial=self._summary.serial + 1,
            upstreams=[
                load_reports.UpstreamLoad(
                    entry.upstream_id, in_progress, **counts
                )
                for entry in entries(10)
            ],
            demands=[
                load_reports.ServiceDemand(SERVICE, priority, *numbers)
                for priority, numbers in demands.items()
            ],
        )
        self.picture.record(self._summary, at)

    def share(self, priority, at, count=2000, caller=None) -> float:
        """Return the share of openings that are admitted."""
        admitted = [
            self.controller.decide(
                SERVICE, priority, number if caller is None else caller, at
            )
            for number in range(count)
        ]
        return sum(admitted) / count
