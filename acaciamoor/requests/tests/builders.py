"""Test data for requests."""

import datetime

from acaciamoor import requests
from acaciamoor import wire

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)


def request_part(
    request: int = 1,
    attempt: int = 0,
    idempotent: bool = False,
    age: datetime.timedelta = datetime.timedelta(0),
    deadline: datetime.timedelta = 20 * SECOND,
    size_class: wire.SizeClass = wire.SizeClass.UNKNOWN,
    flow: int | None = None,
    part: int = 0,
    parts: int = 1,
) -> requests.RequestPart:
    """Return one part of a request, by default in a flow of its own."""
    flow = 1000 + request if flow is None else flow
    return requests.RequestPart(
        flow=flow,
        request=request,
        attempt=attempt,
        idempotent=idempotent,
        age=age,
        deadline=deadline,
        size_class=size_class,
        part=part,
        parts=parts,
        caller=f'caller-{flow}',
        payload=f'{flow}/{request}/{attempt}/{part}',
    )
