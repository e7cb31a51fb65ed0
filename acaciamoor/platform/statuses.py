"""Errors of the object store by the HTTP status of an answer."""

import datetime
import http

from acaciamoor.platform import errors

_REJECTED = frozenset(
    [
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.UNAUTHORIZED,
        http.HTTPStatus.FORBIDDEN,
        http.HTTPStatus.METHOD_NOT_ALLOWED,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
    ]
)


def error_for(
    status: int,
    name: str,
    text: str,
    retry_after: str,
    failure: type[errors.StoreError],
) -> errors.StoreError:
    """Return the error that an answer other than a success stands for.

    Parameters
    ----------
    status : int
        HTTP status.
    name : str
        Object that was called for.
    text : str
        Body of the answer.
    retry_after : str
        Header of that name, in whole seconds; may be empty.
    failure : type
        Error for all other statuses. It says what the caller may conclude.

    Examples
    --------
    >>> error_for(404, 'desk', '', '', errors.Unavailable)
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
    if status in _REJECTED:
        return errors.Rejected(text)
    return failure(f'status {status}: {text}')
