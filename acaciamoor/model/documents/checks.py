"""Validation of documents, with findings for all errors."""

import collections.abc
import typing

import pydantic

from acaciamoor import findings
from acaciamoor.model import address as addresses
from acaciamoor.model.limits import VALUE_LIMIT_BYTES

DocumentT = typing.TypeVar('DocumentT', bound='Document')
_UNKNOWN_FIELD = 'extra_forbidden'


class Document(pydantic.BaseModel):
    """Base class of stored documents: immutable, unknown fields rejected."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, validate_default=True
    )


def _normalize_address(text: str) -> str:
    return str(addresses.Address.parse(text))


AddressText = typing.Annotated[
    str, pydantic.AfterValidator(_normalize_address)
]
# Names are used in object names and metric labels.
Name = typing.Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'
    ),
]


def is_name(text: str) -> bool:
    """Return whether `text` may name an object or a data centre.

    Examples
    --------
    >>> is_name('kgn-a'), is_name('kgn a')
    (True, False)
    """
    try:
        pydantic.TypeAdapter(Name).validate_python(text)
    except pydantic.ValidationError:
        return False
    return True


def parse(
    document_type: type[DocumentT],
    place: str,
    value: collections.abc.Mapping[str, typing.Any],
    problems: collections.abc.Iterable[findings.Finding] = (),
) -> DocumentT:
    """Parse and validate a document.

    Parameters
    ----------
    document_type : type
        Class of the document.
    place : str
        Path of the object, a prefix of the place of every finding.
    value : Mapping
        JSON value.
    problems : iterable of Finding
        Findings of other checks, which are reported as well.

    Raises
    ------
    FindingsError
        With all findings.
    """
    found = [*problems, *_size_findings(place, value)]
    document = None
    try:
        document = document_type.model_validate(dict(value))
    except pydantic.ValidationError as error:
        found.extend(_field_findings(place, error))
    if found or document is None:
        raise findings.FindingsError.of(f'{place} is not valid', found)
    return document


def to_json(document: Document) -> dict[str, typing.Any]:
    """Return the JSON value of `document`."""
    return document.model_dump(mode='json')


def _size_findings(
    place: str, value: collections.abc.Mapping[str, typing.Any]
) -> collections.abc.Iterator[findings.Finding]:
    size = len(pydantic.TypeAdapter(dict).dump_json(dict(value)))
    if size > VALUE_LIMIT_BYTES:
        yield findings.Finding(
            place,
            f'{size} bytes exceed the limit of {VALUE_LIMIT_BYTES} bytes',
        )


def _field_findings(
    place: str, error: pydantic.ValidationError
) -> collections.abc.Iterator[findings.Finding]:
    for detail in error.errors():
        path = '.'.join([place, *(str(part) for part in detail['loc'])])
        message = detail['msg'].removeprefix('Value error, ')
        if detail['type'] == _UNKNOWN_FIELD:
            message = 'is not a known field'
        yield findings.Finding(path, message)
