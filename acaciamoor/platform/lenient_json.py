"""Decoding of JSON in which other writers may have left odd values.

A value that cannot be read, or passed on, damages only itself instead of the
whole response that it is part of.
"""

import logging
import typing

import msgspec

from acaciamoor.platform import damaged_lists
from acaciamoor.platform import tolerant_parser

_LOG = logging.getLogger(__name__)

T = typing.TypeVar('T')


def decode(body: bytes | msgspec.Raw, document_type: type[T]) -> T:
    """Decode a document.

    Raises
    ------
    ValueError
        If the document is malformed apart from single values.

    Examples
    --------
    >>> decode(b'{"b": "\\\\ud800", "c": 3}', dict)['c']
    3
    """
    try:
        return msgspec.json.decode(body, type=document_type)
    except (RecursionError, UnicodeDecodeError, msgspec.DecodeError) as error:
        # A bracket too many ends the document before its last fields.
        if isinstance(
            error, msgspec.ValidationError
        ) and damaged_lists.is_valid(body):
            raise
        # Another writer may store what is not valid JSON. Replacing it damages
        # only that value instead of losing the whole response.
        _LOG.warning('replacing what cannot be read in a document: %s', error)
        return msgspec.json.decode(
            damaged_lists.repair(bytes(body)), type=document_type
        )


def remove_large_integers(value: typing.Any) -> typing.Any:
    """Return a decoded value without integers that no message can hold.

    Hosts pass on what the store holds as MessagePack, which has 64 bits for an
    integer.

    Examples
    --------
    >>> remove_large_integers({'a': [1, 2**64, -(2**63)], 'b': -(2**63) - 1})
    {'a': [1, None, -9223372036854775808], 'b': None}
    """
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        _LOG.warning('ignoring numbers that are out of range')
        return _replace_large_integers(value)
    return value


def _replace_large_integers(value: typing.Any) -> typing.Any:
    if isinstance(value, dict):
        return {
            key: _replace_large_integers(item) for key, item in value.items()
        }
    if isinstance(value, list):
        return [_replace_large_integers(item) for item in value]
    if (
        isinstance(value, int)
        and not tolerant_parser.MIN_INTEGER
        <= value
        <= tolerant_parser.MAX_INTEGER
    ):
        return None
    return value
