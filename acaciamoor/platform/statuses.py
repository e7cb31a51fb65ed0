"""Maps HTTP statuses to errors of the object store."""

import datetime
import http

from acaciamoor.platform import errors

_REJECTED_STATUSES = frozenset(
    [
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.UNAUTHORIZED,
        http.HTTPStatus.FORBIDDEN,
        http.HTTPStatus.METHOD_NOT_ALLOWED,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
    ]
)


def error_from_status(
    status: int,
    name: str,
    text: str,
    retry_after: str,
    default_error: type[errors.StoreError],
) -> errors.StoreError:
    """Return the error for an unsuccessful HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    name : str
        Object or collection that the request was for.
    text : str
        Body of the response.
    retry_after : str
        Value of the ``Retry-After`` header in whole seconds; may be empty.
    default_error : type
        Class of the error for all other statuses, according to whether the
        request may have taken effect.

    Examples
    --------
    >>> error_from_status(404, 'desk', '', '', errors.Unavailable)
    NotFound('desk')
    """
    if status == http.HTTPStatus.CONFLICT:
        return errors.Conflict(name)
    if status == http.HTTPStatus.NOT_FOUND:
        return errors.NotFound(name)
    if status == http.HTTPStatus.GONE:
        return errors.VersionExpired(text)
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        seconds = int(retry_after) if retry_after.isdecimal() else 1
        return errors.RateLimited(datetime.timedelta(seconds=seconds))
    if status in _REJECTED_STATUSES:
        return errors.Rejected(text)
    return default_error(f'status {status}: {text}')
