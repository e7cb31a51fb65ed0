"""Objectives of services, from flags or a JSON file."""

import collections.abc
import dataclasses
import enum
import json
import pathlib

from acaciamoor import findings

# Share of short work that must meet a p99 objective.
P99_SHARE = 0.99


class ObjectiveKind(enum.Enum):
    """What an objective limits."""

    AVAILABILITY = 'availability'
    BROKEN_FLOWS = 'broken-flows'
    SHORT_WORK_P99 = 'short-work-p99'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Objective:
    """A limit for one service.

    Parameters
    ----------
    service : str
        The service, as in the label of the metrics.
    kind : ObjectiveKind
        What is limited.
    limit : float
        Least share of requests that are answered (availability), greatest
        share of streams that break (broken flows), or greatest 99th
        percentile of short work in seconds.
    """

    service: str
    kind: ObjectiveKind = dataclasses.field(compare=False)
    limit: float

    @property
    def allowed_bad_share(self) -> float:
        """Share of events that may be bad: the error budget."""
        if self.kind is ObjectiveKind.AVAILABILITY:
            return 1.0 - self.limit
        if self.kind is ObjectiveKind.BROKEN_FLOWS:
            return self.limit
        return 1.0 - P99_SHARE


def parse_objective(text: str) -> Objective:
    """Return the objective ``SERVICE:KIND=LIMIT``.

    Examples
    --------
    >>> parse_objective('order-desk:availability=0.999').limit
    0.999
    """
    service, has_kind, rest = text.partition(':')
    kind, has_limit, limit = rest.partition('=')
    if not service or not has_kind or not has_limit:
        raise ValueError(f'{text!r} is not of the form SERVICE:KIND=LIMIT')
    return _objective(service, kind, limit)


def read_objectives(path: pathlib.Path) -> tuple[Objective, ...]:
    """Return the objectives in a JSON file.

    The file holds ``{"SERVICE": {"KIND": LIMIT}}``.

    Raises
    ------
    FindingsError
        With all problems and their path in the file.
    """
    try:
        content = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise _error(path, [findings.Finding(str(path), str(error))]) from None
    if not isinstance(content, collections.abc.Mapping):
        raise _error(path, [findings.Finding(str(path), 'is not an object')])
    objectives: list[Objective] = []
    problems: list[findings.Finding] = []
    for service, limits in content.items():
        place = f'{path}.{service}'
        if not isinstance(limits, collections.abc.Mapping):
            problems.append(findings.Finding(place, 'is not an object'))
            continue
        for kind, limit in limits.items():
            try:
                objectives.append(_objective(service, kind, limit))
            except ValueError as error:
                problems.append(
                    findings.Finding(f'{place}.{kind}', str(error))
                )
    if problems:
        raise _error(path, problems)
    return tuple(objectives)


def _error(
    path: pathlib.Path, problems: list[findings.Finding]
) -> findings.FindingsError:
    return findings.FindingsError.of(f'{path} cannot be used', problems)


def _objective(service: str, kind: str, limit: object) -> Objective:
    known = {item.value: item for item in ObjectiveKind}
    if kind not in known:
        raise ValueError(f'{kind!r} is not one of {", ".join(known)}')
    try:
        number = float(str(limit))
    except ValueError:
        raise ValueError(f'{limit!r} is not a number') from None
    if known[kind] is ObjectiveKind.SHORT_WORK_P99:
        if number <= 0.0:
            raise ValueError(f'{number} s is not more than 0')
    elif not 0.0 < number < 1.0:
        raise ValueError(f'{number} is not between 0 and 1')
    return Objective(service, known[kind], number)
