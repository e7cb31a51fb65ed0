"""Compact serialization of typed messages.

msgspec writes a data class as a map with the names of its fields. Control
traffic is limited to a few kilobytes a second, so every data class gets a
mirror that msgspec writes as an array.
"""

import collections.abc
import dataclasses
import functools
import types
import typing

import msgspec

Hint = typing.Any


class CompactError(ValueError):
    """Bytes that are not the serialized form of the expected type."""


@functools.cache
def _codec(cls: type) -> tuple[type, msgspec.msgpack.Decoder]:
    mirror = _mirror(cls)
    return mirror, msgspec.msgpack.Decoder(mirror)


def pack(value: object) -> bytes:
    """Return the serialized form of the data class instance `value`."""
    mirror, _ = _codec(type(value))
    return msgspec.msgpack.encode(_to_mirror(type(value), value, mirror))


def unpack(cls: type, data: bytes) -> typing.Any:
    """Return the instance of data class `cls` in `data`.

    Raises
    ------
    CompactError
        If `data` is truncated, has other types, or breaks a rule of `cls`.
    """
    _, decoder = _codec(cls)
    try:
        return _from_mirror(cls, decoder.decode(data))
    except (msgspec.MsgspecError, ValueError, ExceptionGroup) as error:
        raise CompactError(f'not a {cls.__name__}: {error}') from error


@functools.cache
def _fields(cls: type) -> tuple[tuple[str, Hint], ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        (field.name, hints[field.name]) for field in dataclasses.fields(cls)
    )


@functools.cache
def _mirror(hint: Hint) -> Hint:
    hint = getattr(hint, '__supertype__', hint)
    if dataclasses.is_dataclass(hint):
        return msgspec.defstruct(
            hint.__name__,
            [(name, _mirror(inner)) for name, inner in _fields(hint)],
            array_like=True,
            frozen=True,
        )
    origin = typing.get_origin(hint)
    if origin is None:
        return hint
    inner = tuple(
        argument if argument is Ellipsis else _mirror(argument)
        for argument in typing.get_args(hint)
    )
    if origin is types.UnionType or origin is typing.Union:
        return typing.Union[inner]  # noqa: UP007
    if origin is collections.abc.Mapping:
        return dict[inner]
    return origin[inner]


def _to_mirror(hint: Hint, value: typing.Any, mirror: Hint) -> typing.Any:
    converter = _converter(hint)
    return converter.out(value) if converter else value


def _from_mirror(hint: Hint, value: typing.Any) -> typing.Any:
    converter = _converter(hint)
    return converter.back(value) if converter else value


class _Converter(typing.NamedTuple):
    out: collections.abc.Callable[[typing.Any], typing.Any]
    back: collections.abc.Callable[[typing.Any], typing.Any]


@functools.cache
def _converter(hint: Hint) -> _Converter | None:
    """Return how to convert values of `hint`; None if nothing is needed."""
    hint = getattr(hint, '__supertype__', hint)
    if dataclasses.is_dataclass(hint):
        return _dataclass_converter(hint)
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is tuple and arguments and arguments[-1] is Ellipsis:
        return _each(_converter(arguments[0]), tuple)
    if origin is types.UnionType or origin is typing.Union:
        return _optional(arguments)
    if origin is collections.abc.Mapping:
        return _mapping(_converter(arguments[1]))
    return None


def _dataclass_converter(cls: type) -> _Converter:
    mirror = _mirror(cls)
    converters = [(name, _converter(hint)) for name, hint in _fields(cls)]

    def out(value: typing.Any) -> typing.Any:
        return mirror(
            *(
                item.out(getattr(value, name))
                if item
                else getattr(value, name)
                for name, item in converters
            )
        )

    def back(value: typing.Any) -> typing.Any:
        return cls(
            **{
                name: item.back(getattr(value, name))
                if item
                else getattr(value, name)
                for name, item in converters
            }
        )

    return _Converter(out, back)


def _each(inner: _Converter | None, kind: type) -> _Converter | None:
    if inner is None:
        return None
    return _Converter(
        lambda items: kind(inner.out(item) for item in items),
        lambda items: kind(inner.back(item) for item in items),
    )


def _optional(arguments: tuple[Hint, ...]) -> _Converter | None:
    present = [item for item in arguments if item is not type(None)]
    inner = _converter(present[0]) if len(present) == 1 else None
    if inner is None:
        return None
    return _Converter(
        lambda value: None if value is None else inner.out(value),
        lambda value: None if value is None else inner.back(value),
    )


def _mapping(inner: _Converter | None) -> _Converter:
    def out(mapping: typing.Any) -> dict:
        return {
            key: inner.out(value) if inner else value
            for key, value in mapping.items()
        }

    def back(mapping: dict) -> dict:
        return {
            key: inner.back(value) if inner else value
            for key, value in mapping.items()
        }

    return _Converter(out, back)
