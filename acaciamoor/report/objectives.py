"""Service-level objectives, read from flags or a JSON file."""

import collections.abc
import dataclasses
import enum
import json
import pathlib

from acaciamoor import findings

P99_QUANTILE = 0.99


class ObjectiveKind(enum.Enum):
    """Service-level indicator that an objective limits."""

    AVAILABILITY = 'availability'
    BROKEN_FLOWS = 'broken-flows'
    SHORT_WORK_P99 = 'short-work-p99'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Objective:
    """Service-level objective of one service.

    Parameters
    ----------
    service : str
        Name of the service, as in the labels of the metrics.
    kind : ObjectiveKind
        Indicator that is limited.
    limit : float
        Minimum fraction of requests that are answered (availability), maximum
        fraction of streams that break (broken flows), or maximum 99th
        percentile of the response time of short work, in seconds.
    """

    service: str
    kind: ObjectiveKind = dataclasses.field(compare=False)
    limit: float

    @property
    def error_budget(self) -> float:
        """Fraction of events that may be bad."""
        if self.kind is ObjectiveKind.AVAILABILITY:
            return 1.0 - self.limit
        if self.kind is ObjectiveKind.BROKEN_FLOWS:
            return self.limit
        return 1.0 - P99_QUANTILE


def parse_objective(text: str) -> Objective:
    """Parse an objective of the form ``SERVICE:KIND=LIMIT``.

    Raises
    ------
    ValueError
        If the form, the kind or the limit is invalid.

    Examples
    --------
    >>> parse_objective('order-desk:availability=0.999').limit
    0.999
    """
    service, colon, rest = text.partition(':')
    kind, equals_sign, limit = rest.partition('=')
    if not service or not colon or not equals_sign:
        raise ValueError(f'{text!r} is not of the form SERVICE:KIND=LIMIT')
    return _create_objective(service, kind, limit)


def read_objectives(path: pathlib.Path) -> tuple[Objective, ...]:
    """Return the objectives in a JSON file.

    The content has the form ``{"SERVICE": {"KIND": LIMIT}}``.

    Raises
    ------
    FindingsError
        If the file is invalid; contains all problems with their paths.
    """
    try:
        content = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise _invalid_file_error(
            path, [findings.Finding(str(path), str(error))]
        ) from None
    if not isinstance(content, collections.abc.Mapping):
        raise _invalid_file_error(
            path, [findings.Finding(str(path), 'must be a JSON object')]
        )
    objectives: list[Objective] = []
    problems: list[findings.Finding] = []
    for service, limits in content.items():
        place = f'{path}.{service}'
        if not isinstance(limits, collections.abc.Mapping):
            problems.append(findings.Finding(place, 'must be a JSON object'))
            continue
        for kind, limit in limits.items():
            try:
                objectives.append(_create_objective(service, kind, limit))
            except ValueError as error:
                problems.append(
                    findings.Finding(f'{place}.{kind}', str(error))
                )
    if problems:
        raise _invalid_file_error(path, problems)
    return tuple(objectives)


def _invalid_file_error(
    path: pathlib.Path, problems: list[findings.Finding]
) -> findings.FindingsError:
    return findings.FindingsError.of(
        f'{path} is not a valid file of objectives', problems
    )


def _create_objective(service: str, kind: str, limit: object) -> Objective:
    kinds_by_name = {item.value: item for item in ObjectiveKind}
    if kind not in kinds_by_name:
        raise ValueError(f'{kind!r} is not one of {", ".join(kinds_by_name)}')
    try:
        number = float(str(limit))
    except ValueError:
        raise ValueError(f'{limit!r} is not a number') from None
    if kinds_by_name[kind] is ObjectiveKind.SHORT_WORK_P99:
        if number <= 0.0:
            raise ValueError(f'{number} s is not greater than 0')
    elif not 0.0 < number < 1.0:
        raise ValueError(f'{number} is not between 0 and 1')
    return Objective(service, kinds_by_name[kind], number)
