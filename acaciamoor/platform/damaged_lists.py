"""Repair of documents that list objects, some of which are malformed."""

import json
import re

import msgspec

from acaciamoor.platform import tolerant_parser

_STRING = r'"(?:[^"\\]++|\\.)*+"'
_SCALAR = rf'(?:{_STRING}|[^\s\[\]{{}},:"]++)'
# Fields with scalar values, then one with an array that begins with an object.
# The groups are the name of the array and the first key of the object.
_LIST_HEAD = re.compile(
    rf'\s*\{{\s*(?:{_STRING}\s*:\s*{_SCALAR}\s*,\s*)*+'
    rf'({_STRING})\s*:\s*\[\s*(?=\{{\s*({_STRING})\s*:)',
    re.DOTALL,
)
# Searches for the end of an item that other items seem to be nested in. Each
# reads the rest of the document at most.
_MAX_FAILED_SEARCHES = 32
_WHITESPACE = re.compile(r'\s*')
_DECODER = json.JSONDecoder(strict=False)


class _Items:
    """Items of an array of objects that all begin with the same key.

    The store writes the beginning of each item and the separators, other
    writers the values within. So an item that is malformed ends before the
    next separator that is followed by the beginning of an item.
    """

    def __init__(self, text: str, first_key: str) -> None:
        self._text = text
        self._separator = re.compile(
            rf',\s*(?=\{{\s*{re.escape(first_key)}\s*:)'
        )
        self._failed_searches = 0
        end = text.rfind(']')
        self.array_end = end if end >= 0 else len(text)

    def split(self, start: int) -> list[str]:
        """Return the text of each item from `start` on."""
        items = []
        position = start
        while position < self.array_end:
            end = self._find_end(position)
            items.append(self._text[position:end])
            separator = self._match_separator(end)
            position = separator.end() if separator else self.array_end
        return items

    def _find_end(self, start: int) -> int:
        separator = self._separator.search(self._text, start + 1)
        end = separator.start() if separator else self.array_end
        if separator is None or is_valid(self._text[start:end]):
            return end
        # What looks like the next item may be part of a value of this one.
        return self._find_end_of_value(start) or end

    def _find_end_of_value(self, start: int) -> int | None:
        """Return where the JSON value at `start` ends, if an item may."""
        if self._failed_searches >= _MAX_FAILED_SEARCHES:
            return None
        try:
            _, end = _DECODER.raw_decode(self._text, start)
        except (ValueError, RecursionError):
            end = None
        if end is not None and self._is_end_of_item(end):
            return end
        self._failed_searches += 1
        return None

    def _is_end_of_item(self, position: int) -> bool:
        return (
            self._match_separator(position) is not None
            or self._skip_whitespace(position) == self.array_end
        )

    def _match_separator(self, position: int) -> re.Match[str] | None:
        return self._separator.match(
            self._text, self._skip_whitespace(position)
        )

    def _skip_whitespace(self, position: int) -> int:
        return _WHITESPACE.match(self._text, position).end()


def is_valid(text: str | bytes | msgspec.Raw) -> bool:
    """Return whether a strict parser accepts a document."""
    try:
        msgspec.json.decode(text, type=msgspec.Raw)
    except (RecursionError, UnicodeEncodeError, msgspec.DecodeError):
        return False
    return True


def repair(body: bytes) -> bytes:
    """Return a document without what strict parsers refuse.

    What cannot be read becomes null. In a document that lists objects, a
    malformed object affects no other one.

    Examples
    --------
    >>> repair(b'{"a": NaN, "b": "\\\\ud800", "c": 1e400, "d": "\\xff"}')
    b'{"a":null,"b":"?","c":null,"d":"\\xef\\xbf\\xbd"}'
    >>> repair(b'{"a": [{"b": [{"x}, {"b": 2}, {"b": ]}], "d": 3}')
    b'{"a":[{"b":[{}]},{"b": 2},{"b":null}],"d":3}'
    """
    text = body.decode(errors='replace')
    head = _LIST_HEAD.match(text)
    if head is None:
        return _repair_value(text)
    items = _Items(text, head[2])
    frame = f'{text[: head.end()]}{text[items.array_end :]}'
    document = tolerant_parser.TolerantParser().parse(frame)
    document[json.loads(head[1], strict=False)] = [
        msgspec.Raw(item.encode() if is_valid(item) else _repair_value(item))
        for item in items.split(head.end())
    ]
    return msgspec.json.encode(document)


def _repair_value(text: str) -> bytes:
    return msgspec.json.encode(tolerant_parser.TolerantParser().parse(text))
