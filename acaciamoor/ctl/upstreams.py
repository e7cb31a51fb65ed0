"""Text form of an upstream on the command line."""

from acaciamoor.operator import operator_pb2

_FORM = 'ID@DATA_CENTRE=IP:PORT[/weight=W][/slots=N][/connections=N]'
_CONVERSIONS_BY_OPTION = {
    'connections': int,
    'control': str,
    'slots': int,
    'weight': float,
}


def parse_upstream(text: str) -> operator_pb2.Upstream:
    """Return the upstream in `text`.

    Raises
    ------
    ValueError
        If `text` does not have the form; values are checked by the API.

    Examples
    --------
    >>> message = parse_upstream('desk-1@kgn-a=10.0.0.1:9001/slots=4')
    >>> message.upstream_id, message.data_centre, message.slots
    ('desk-1', 'kgn-a', 4)
    """
    first, *options = text.split('/')
    name, has_address, address = first.partition('=')
    upstream_id, has_place, data_centre = name.partition('@')
    if not has_address or not has_place:
        raise ValueError(f'{text!r} is not of the form {_FORM}')
    message = operator_pb2.Upstream(
        upstream_id=upstream_id, data_centre=data_centre, address=address
    )
    for option in options:
        _set(message, option)
    return message


def _set(message: operator_pb2.Upstream, option: str) -> None:
    key, _, value = option.partition('=')
    if key not in _CONVERSIONS_BY_OPTION:
        known = ', '.join(_CONVERSIONS_BY_OPTION)
        raise ValueError(f'{key!r} is not one of {known}')
    setattr(message, key, _CONVERSIONS_BY_OPTION[key](value))
