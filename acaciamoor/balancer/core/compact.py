"""Compact serialization of typed messages.

msgspec encodes a data class as a map that includes the names of its fields.
Control traffic is limited to a few kilobytes per second, so each data class is
converted to a generated struct type that msgspec encodes as an array.
"""

import collections.abc
import dataclasses
import functools
import types
import typing

import msgspec

TypeHint = typing.Any


class CompactError(ValueError):
    """The data is not the serialized form of the expected type."""


@functools.cache
def _codec(cls: type) -> tuple[type, msgspec.msgpack.Decoder]:
    wire_type = _wire_type(cls)
    return wire_type, msgspec.msgpack.Decoder(wire_type)


def pack(value: object) -> bytes:
    """Return the serialized form of the data class instance `value`."""
    wire_type, _ = _codec(type(value))
    return msgspec.msgpack.encode(_to_wire(type(value), value, wire_type))


def unpack(cls: type, data: bytes) -> typing.Any:
    """Return the instance of data class `cls` in `data`.

    Raises
    ------
    CompactError
        If `data` is truncated, has fields of other types, or violates a
        constraint of `cls`.
    """
    _, decoder = _codec(cls)
    try:
        return _from_wire(cls, decoder.decode(data))
    except (msgspec.MsgspecError, ValueError, ExceptionGroup) as error:
        raise CompactError(
            f'cannot decode a {cls.__name__}: {error}'
        ) from error


@functools.cache
def _fields(cls: type) -> tuple[tuple[str, TypeHint], ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        (field.name, hints[field.name]) for field in dataclasses.fields(cls)
    )


@functools.cache
def _wire_type(hint: TypeHint) -> TypeHint:
    hint = getattr(hint, '__supertype__', hint)
    if dataclasses.is_dataclass(hint):
        return msgspec.defstruct(
            hint.__name__,
            _wire_fields(hint),
            array_like=True,
            frozen=True,
        )
    origin = typing.get_origin(hint)
    if origin is None:
        return hint
    inner = tuple(
        argument if argument is Ellipsis else _wire_type(argument)
        for argument in typing.get_args(hint)
    )
    if origin is types.UnionType or origin is typing.Union:
        return typing.Union[inner]  # noqa: UP007
    if origin is collections.abc.Mapping:
        return dict[inner]
    return origin[inner]


def _wire_fields(cls: type) -> list[tuple]:
    """Return the fields of the struct type, the last ones with defaults.

    A message of a peer that runs an older version of the program lacks the
    fields that were added at the end; these get their defaults. Fields that
    the receiver does not know are ignored.
    """
    defaults_by_name = {
        field.name: field.default for field in dataclasses.fields(cls)
    }
    described: list[tuple] = []
    may_default = True
    for name, hint in reversed(_fields(cls)):
        default = defaults_by_name[name]
        may_default = may_default and isinstance(
            default, bool | int | float | str | None
        )
        described.append(
            (name, _wire_type(hint), default)
            if may_default
            else (name, _wire_type(hint))
        )
    return described[::-1]


def _to_wire(
    hint: TypeHint, value: typing.Any, wire_type: TypeHint
) -> typing.Any:
    converter = _converter(hint)
    return converter.to_wire(value) if converter else value


def _from_wire(hint: TypeHint, value: typing.Any) -> typing.Any:
    converter = _converter(hint)
    return converter.from_wire(value) if converter else value


class _Converter(typing.NamedTuple):
    to_wire: collections.abc.Callable[[typing.Any], typing.Any]
    from_wire: collections.abc.Callable[[typing.Any], typing.Any]


@functools.cache
def _converter(hint: TypeHint) -> _Converter | None:
    """Return the converter of a type; None if it needs no conversion."""
    hint = getattr(hint, '__supertype__', hint)
    if dataclasses.is_dataclass(hint):
        return _dataclass_converter(hint)
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is tuple and arguments and arguments[-1] is Ellipsis:
        return _sequence_converter(_converter(arguments[0]), tuple)
    if origin is types.UnionType or origin is typing.Union:
        return _optional_converter(arguments)
    if origin is collections.abc.Mapping:
        return _mapping_converter(_converter(arguments[1]))
    return None


def _dataclass_converter(cls: type) -> _Converter:
    wire_type = _wire_type(cls)
    converters = [(name, _converter(hint)) for name, hint in _fields(cls)]

    def to_wire(value: typing.Any) -> typing.Any:
        return wire_type(
            *(
                converter.to_wire(getattr(value, name))
                if converter
                else getattr(value, name)
                for name, converter in converters
            )
        )

    def from_wire(value: typing.Any) -> typing.Any:
        return cls(
            **{
                name: converter.from_wire(getattr(value, name))
                if converter
                else getattr(value, name)
                for name, converter in converters
            }
        )

    return _Converter(to_wire, from_wire)


def _sequence_converter(
    inner: _Converter | None, kind: type
) -> _Converter | None:
    if inner is None:
        return None
    return _Converter(
        lambda items: kind(inner.to_wire(item) for item in items),
        lambda items: kind(inner.from_wire(item) for item in items),
    )


def _optional_converter(arguments: tuple[TypeHint, ...]) -> _Converter | None:
    others = [hint for hint in arguments if hint is not type(None)]
    inner = _converter(others[0]) if len(others) == 1 else None
    if inner is None:
        return None
    return _Converter(
        lambda value: None if value is None else inner.to_wire(value),
        lambda value: None if value is None else inner.from_wire(value),
    )


def _mapping_converter(inner: _Converter | None) -> _Converter:
    def to_wire(mapping: typing.Any) -> dict:
        return {
            key: inner.to_wire(value) if inner else value
            for key, value in mapping.items()
        }

    def from_wire(mapping: dict) -> dict:
        return {
            key: inner.from_wire(value) if inner else value
            for key, value in mapping.items()
        }

    return _Converter(to_wire, from_wire)
