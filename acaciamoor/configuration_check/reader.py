"""Reading of a configuration file."""

import collections
import collections.abc
import json
import typing

import msgspec

from acaciamoor import findings
from acaciamoor.model import documents

Pairs = list[tuple[str, typing.Any]]


class Configuration(msgspec.Struct, frozen=True):
    """Services of a file, and what is wrong with the file.

    Parameters
    ----------
    services : tuple of ServiceDocument
        Valid services in the order of the file.
    errors : tuple of Finding
        Damage to the file, and every finding on an invalid service.
    hidden : tuple of Finding
        Fields that a later field of the same name replaces.
    """

    services: tuple[documents.ServiceDocument, ...] = ()
    errors: tuple[findings.Finding, ...] = ()
    hidden: tuple[findings.Finding, ...] = ()


def read(content: bytes, place: str) -> Configuration:
    """Read an object with the list ``services``; raises nothing.

    Parameters
    ----------
    content : bytes
        Content of the file, in JSON.
    place : str
        Name of the file, the place of findings on the file as a whole.

    Examples
    --------
    >>> [str(error) for error in read(b'{"services": 1}', 'a.json').errors]
    ['services: is not a list']
    """
    try:
        value, hidden = read_object(content, place)
    except findings.FindingsError as error:
        return Configuration(errors=error.findings)
    valid = []
    errors = [
        findings.Finding(key, 'is not a known field')
        for key in value
        if key != documents.SERVICE_KIND
    ]
    items = value.get(documents.SERVICE_KIND)
    if not isinstance(items, list):
        errors.append(
            findings.Finding(documents.SERVICE_KIND, 'is not a list')
        )
        items = []
    for index, item in enumerate(items):
        try:
            valid.append(_parse_service(index, item))
        except findings.FindingsError as error:
            errors.extend(error.findings)
    return Configuration(tuple(valid), tuple(errors), hidden)


def read_object(
    content: bytes, place: str
) -> tuple[dict[str, typing.Any], tuple[findings.Finding, ...]]:
    """Return the object of a file, and the fields that others hide.

    Parameters
    ----------
    content : bytes
        Content of the file, in JSON.
    place : str
        Name of the file.

    Raises
    ------
    FindingsError
        If the content is no object in JSON.
    """
    problem = 'is not an object'
    try:
        value = json.loads(
            content.decode(),
            object_pairs_hook=_Object,
            parse_constant=_reject_constant,
        )
        hidden = tuple(_hidden_fields((), value))
    except (ValueError, RecursionError) as error:
        problem = f'is not valid JSON: {error}'
        value = None
    if not isinstance(value, dict):
        raise findings.FindingsError.of(
            f'{place} cannot be read', [findings.Finding(place, problem)]
        )
    return value, hidden


class _Object(dict[str, typing.Any]):
    """JSON object that keeps the names that occur more than once."""

    def __init__(self, pairs: Pairs) -> None:
        super().__init__(pairs)
        counts = collections.Counter(key for key, _ in pairs)
        self.hidden_keys = [key for key, count in counts.items() if count > 1]


def _parse_service(index: int, item: object) -> documents.ServiceDocument:
    place = f'{documents.SERVICE_KIND}.{index}'
    if not isinstance(item, collections.abc.Mapping):
        raise findings.FindingsError.of(
            f'{place} is not valid',
            [findings.Finding(place, 'is not an object')],
        )
    try:
        return documents.parse_service(item.get('name', index), item)
    except (ValueError, RecursionError) as error:
        # Text that is not Unicode and too deep nesting have no JSON form, so
        # that the size of the document cannot be determined.
        raise findings.FindingsError.of(
            f'{place} is not valid', [findings.Finding(place, str(error))]
        ) from error


def _hidden_fields(
    path: tuple[str, ...], value: object
) -> collections.abc.Iterator[findings.Finding]:
    children: collections.abc.Iterable[tuple[str, object]] = ()
    if isinstance(value, _Object):
        children = value.items()
        for key in value.hidden_keys:
            yield findings.Finding(
                '.'.join((*path, key)),
                'is hidden by a later field of the same name',
            )
    elif isinstance(value, list):
        children = [
            (_label(index, item), item) for index, item in enumerate(value)
        ]
    for key, child in children:
        yield from _hidden_fields((*path, key), child)


def _label(index: int, item: object) -> str:
    # As in the places of the findings of `parse_service`.
    if isinstance(item, _Object):
        return str(item.get('name', index))
    return str(index)


def _reject_constant(text: str) -> typing.NoReturn:
    raise ValueError(f'{text} is not a JSON number')
