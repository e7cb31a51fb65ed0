"""Decoding of JSON in which other writers may have left odd values.

A value that cannot be read, or passed on, damages only itself instead of the
whole response that it is part of.
"""

import json
import logging
import re
import typing

import msgspec

_LOG = logging.getLogger(__name__)
# Values nested more deeply are replaced by null. The documents of the platform
# have about ten levels; the parser allows about a thousand.
_MAX_DEPTH = 64
# Integers that MessagePack can hold.
_MIN_INTEGER = -(1 << 63)
_MAX_INTEGER = (1 << 64) - 1
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)

T = typing.TypeVar('T')


def decode(body: bytes | msgspec.Raw, document_type: type[T]) -> T:
    """Decode a document.

    Raises
    ------
    ValueError
        If the document is malformed apart from single values.
    """
    try:
        return msgspec.json.decode(body, type=document_type)
    except RecursionError:
        _LOG.warning('ignoring values nested deeper than %d', _MAX_DEPTH)
        return decode(_remove_deep_values(bytes(body)), document_type)
    except (UnicodeDecodeError, msgspec.DecodeError):
        # Another writer may store what is not valid JSON. Replacing it damages
        # only that value instead of losing the whole response.
        text = bytes(body).decode(errors='replace')
        try:
            return msgspec.json.decode(text, type=document_type)
        except msgspec.ValidationError:
            raise
        except msgspec.DecodeError:
            return msgspec.json.decode(
                _replace_invalid_values(_remove_deep_values(text.encode())),
                type=document_type,
            )


def _replace_invalid_values(text: bytes) -> bytes:
    """Replace numbers that are not finite and lone surrogates.

    Writers that follow JavaScript or Python write them, and strict parsers
    refuse them.

    Examples
    --------
    >>> _replace_invalid_values(b'{"a": NaN, "b": "\\\\ud800"}')
    b'{"a": null, "b": "?"}'
    """
    value = json.loads(text, parse_constant=lambda _: None)
    return json.dumps(value, ensure_ascii=False).encode(errors='replace')


def _remove_deep_values(body: bytes) -> bytes:
    """Replace arrays and objects nested deeper than `_MAX_DEPTH` by null.

    Another writer may store a value that exceeds the parser's recursion
    limit. Removing it damages only that value instead of losing the whole
    response.

    Examples
    --------
    >>> _remove_deep_values(b'[' * 66 + b'1' + b']' * 66).count(b'[')
    64
    """
    kept = []
    depth = 0
    start = 0
    for token in _JSON_TOKEN.finditer(body):
        symbol = token[0]
        if symbol in b'[{':
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.append(body[start : token.start()] + b'null')
        elif symbol in b']}':
            depth -= 1
            if depth == _MAX_DEPTH:
                start = token.end()
    kept.append(body[start:] if depth <= _MAX_DEPTH else b'')
    return b''.join(kept)


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
    if isinstance(value, int) and not _MIN_INTEGER <= value <= _MAX_INTEGER:
        return None
    return value
