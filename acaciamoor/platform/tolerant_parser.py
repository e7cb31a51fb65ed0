"""Parser for JSON in which single values may be malformed."""

import json
import math
import re
import typing

import msgspec

# Values nested more deeply are replaced by null. The documents of the platform
# have about ten levels; strict parsers allow about a thousand.
MAX_DEPTH = 64
# Integers that MessagePack and the strict parser can hold.
MIN_INTEGER = -(1 << 63)
MAX_INTEGER = (1 << 64) - 1
_MAX_INTEGER_DIGITS = 20
# A string, a bracket or separator, a scalar, or a quote without its end. Only
# a bracket or separator can follow a string. Anything else shows that the
# quote at its end begins another one. Escaped quotes outside of strings are
# part of a scalar, so that none of them is tried as the start of a string.
_SYMBOL = re.compile(
    r'"[^"\\]*+(?:\\.[^"\\]*+)*+"(?=\s*(?:[,:\]}]|\Z))'
    r'|[\[\]{},:]|(?:[^\s\[\]{},:"\\]++|\\.)++|"',
    re.DOTALL,
)
_NUMBER = re.compile(
    r'-?(?:0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?', re.ASCII
)
_ESCAPE = re.compile(r'\\(["\\/bfnrt]|u[0-9a-fA-F]{4})?')
_CONSTANTS_BY_SYMBOL = {'true': True, 'false': False, 'null': None}
# Level of the document in the stack.
_DOCUMENT_LEVEL = 0


class _Object(msgspec.Struct):
    """Object that is being read; `key` is None before the next field."""

    value: dict[str, typing.Any]
    key: str | None = None

    def add(self, value: object) -> None:
        """Add a key, or the value of the last key."""
        if self.key is not None:
            self.value[self.key] = value
            self.key = None
        elif isinstance(value, str):
            self.key = value

    def end_field(self) -> None:
        """End a field, which may lack its value."""
        if self.key is not None:
            self.add(None)


class _Array(msgspec.Struct):
    """Array that is being read."""

    value: list[typing.Any]

    def add(self, value: object) -> None:
        """Add an item."""
        self.value.append(value)

    def end_field(self) -> None:
        """Do nothing; an item without a value adds nothing."""


class TolerantParser:
    """Parses a document; what cannot be read becomes null.

    Brackets and quotes that are missing, or are too many, affect what follows
    up to the end of the document.

    Examples
    --------
    >>> TolerantParser().parse('{"a": [1e400, {"b": [}, 2], "c": 3}')
    {'a': [None, {'b': []}, 2], 'c': 3}
    >>> TolerantParser().parse('{"a": {"b": "x, "c": 3')
    {'a': {'b': None, 'c': 3}}
    """

    def __init__(self) -> None:
        self._root = _Array([])
        self._stack: list[_Object | _Array] = []
        # Number of open brackets below the maximum depth.
        self._skipped_levels = 0

    def parse(self, text: str) -> object:
        """Return the value of a document; None if there is none."""
        for match in _SYMBOL.finditer(text):
            self._take(match[0])
            if not self._stack and self._root.value:
                break
        return self._root.value[0] if self._root.value else None

    def _take(self, symbol: str) -> None:
        if symbol in '{[':
            self._open(symbol)
        elif symbol == '}':
            self._close(_Object)
        elif symbol == ']':
            self._close(_Array)
        elif self._skipped_levels or symbol == ':':
            return
        elif symbol == ',':
            self._top.end_field()
        elif len(symbol) > 1 and symbol[0] == '"':
            self._top.add(_parse_string(symbol))
        else:
            self._top.add(_parse_scalar(symbol))

    @property
    def _top(self) -> _Object | _Array:
        return self._stack[-1] if self._stack else self._root

    def _open(self, symbol: str) -> None:
        if self._skipped_levels or len(self._stack) >= MAX_DEPTH:
            if not self._skipped_levels:
                self._top.add(None)
            self._skipped_levels += 1
            return
        without_key = isinstance(self._top, _Object) and self._top.key is None
        if symbol == '{' and without_key:
            # Only an array can go on like this: brackets before are missing.
            self._close_down_to(self._find_level(_Array))
        opened = _Object({}) if symbol == '{' else _Array([])
        self._top.add(opened.value)
        self._stack.append(opened)

    def _close(self, container_type: type[_Object | _Array]) -> None:
        """Close the innermost container of a type, and those within it.

        The document is closed only if nothing is open within it: the bracket
        is one too many otherwise.
        """
        if self._skipped_levels:
            self._skipped_levels -= 1
            return
        if not isinstance(self._top, container_type):
            level = self._find_level(container_type)
            if level is None or level <= _DOCUMENT_LEVEL:
                return
            self._close_down_to(level)
        if self._stack:
            self._top.end_field()
            self._stack.pop()

    def _find_level(
        self, container_type: type[_Object | _Array]
    ) -> int | None:
        """Return the level of the innermost container of a type."""
        for level in range(len(self._stack) - 1, -1, -1):
            if isinstance(self._stack[level], container_type):
                return level
        return None

    def _close_down_to(self, level: int | None) -> None:
        if level is not None:
            while len(self._stack) > level + 1:
                self._top.end_field()
                self._stack.pop()


def _parse_string(symbol: str) -> str:
    try:
        text = json.loads(symbol, strict=False)
    except ValueError:
        escaped = _ESCAPE.sub(
            lambda match: match[0] if match[1] else r'\\', symbol
        )
        text = json.loads(escaped, strict=False)
    # Halves of surrogate pairs cannot be encoded.
    return text.encode(errors='replace').decode()


def _parse_scalar(symbol: str) -> object:
    if symbol in _CONSTANTS_BY_SYMBOL:
        return _CONSTANTS_BY_SYMBOL[symbol]
    match = _NUMBER.fullmatch(symbol)
    if match is None:
        return None
    if match[1] or match[2]:
        number = float(symbol)
        return number if math.isfinite(number) else None
    if len(symbol) > _MAX_INTEGER_DIGITS:
        return None
    integer = int(symbol)
    return integer if MIN_INTEGER <= integer <= MAX_INTEGER else None
