"""Command-line syntax of an upstream."""

from acaciamoor.operator import operator_pb2

_SYNTAX = 'ID@DATA_CENTRE=IP:PORT[/weight=W][/slots=N][/connections=N]'
_CONVERSIONS_BY_OPTION = {
    'connections': int,
    'control': str,
    'slots': int,
    'weight': float,
}


def parse_upstream(text: str) -> operator_pb2.Upstream:
    """Parse an upstream, as given on the command line.

    Raises
    ------
    ValueError
        If `text` has a syntax error; the API validates the values.

    Examples
    --------
    >>> message = parse_upstream('desk-1@kgn-a=10.0.0.1:9001/slots=4')
    >>> message.upstream_id, message.data_centre, message.slots
    ('desk-1', 'kgn-a', 4)
    """
    endpoint, *options = text.split('/')
    name, has_address, address = endpoint.partition('=')
    upstream_id, has_data_centre, data_centre = name.partition('@')
    if not has_address or not has_data_centre:
        raise ValueError(f'{text!r} does not match {_SYNTAX}')
    message = operator_pb2.Upstream(
        upstream_id=upstream_id, data_centre=data_centre, address=address
    )
    for option in options:
        _set_option(message, option)
    return message


def _set_option(message: operator_pb2.Upstream, option: str) -> None:
    key, _, value = option.partition('=')
    if key not in _CONVERSIONS_BY_OPTION:
        known = ', '.join(_CONVERSIONS_BY_OPTION)
        raise ValueError(f'{key!r} is not one of {known}')
    setattr(message, key, _CONVERSIONS_BY_OPTION[key](value))
