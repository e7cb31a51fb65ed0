"""Determines whether a write whose response was lost took effect."""

import enum

from acaciamoor.platform import errors
from acaciamoor.platform import objects

# Number of changes stored with an object. After more changes by other writers,
# a writer that reads the object back cannot tell whether its own write took
# effect.
MAX_STORED_CHANGES = 16


class WriteOutcome(enum.Enum):
    """What the stored object shows about a write."""

    APPLIED = 'applied'
    NOT_APPLIED_YET = 'not yet'
    SUPERSEDED = 'beaten'
    INDETERMINATE = 'undecided'


def prepend_change(
    base: objects.StoredObject | None, change_id: str
) -> tuple[objects.Change, ...]:
    """Return the changes to store with a write that replaces `base`.

    Parameters
    ----------
    base : StoredObject or None
        Object that the write replaces; None for a creation.
    change_id : str
        Identifier of the write.
    """
    change = objects.Change(change_id)
    if base is None:
        return (change,)
    # The newest change of `base` has no version yet: its writer did not know
    # the version that the platform would assign.
    earlier = tuple(
        objects.Change(item.change_id, item.version or base.version)
        for item in base.changes
    )
    return (change, *earlier)[:MAX_STORED_CHANGES]


def determine_outcome(
    write: objects.Write,
    base: objects.StoredObject | None,
    found: objects.StoredObject | None,
) -> WriteOutcome:
    """Return what `found` shows about an earlier attempt at `write`.

    Parameters
    ----------
    write : Write
        Write whose response was lost.
    base : StoredObject or None
        Object that the write replaces; None for a creation.
    found : StoredObject or None
        Object as read back; None if it does not exist.
    """
    if found is None:
        return (
            WriteOutcome.NOT_APPLIED_YET
            if base is None
            else WriteOutcome.INDETERMINATE
        )
    if includes_write(found, write):
        return WriteOutcome.APPLIED
    if found.version == write.expected_version:
        return WriteOutcome.NOT_APPLIED_YET
    ids = [change.change_id for change in found.changes]
    if base is None:
        complete = 0 < len(ids) < MAX_STORED_CHANGES
    else:
        # If the stored changes reach back to `base`, they would include the
        # write if it had taken effect.
        complete = bool(base.changes) and base.changes[0].change_id in ids
    return WriteOutcome.SUPERSEDED if complete else WriteOutcome.INDETERMINATE


def includes_write(found: objects.StoredObject, write: objects.Write) -> bool:
    """Return whether the changes stored with `found` include `write`."""
    change_id = write.changes[0].change_id
    return any(change.change_id == change_id for change in found.changes)


def result_of(
    outcome: WriteOutcome,
    write: objects.Write,
    found: objects.StoredObject | None,
) -> objects.StoredObject:
    """Return the object that `write` stored.

    Raises
    ------
    Conflict
        If another write took effect instead.
    OutcomeUnknown
        If the stored object does not show whether the write took effect.
    """
    if outcome is WriteOutcome.APPLIED and found is not None:
        return object_as_written(write, found)
    if outcome is WriteOutcome.SUPERSEDED:
        raise errors.Conflict(write.name, found)
    raise errors.OutcomeUnknown(
        f'{write.name}: cannot determine from the stored changes whether '
        'the write took effect'
    )


def object_as_written(
    write: objects.Write, found: objects.StoredObject
) -> objects.StoredObject:
    """Return the object as `write` stored it, without later changes."""
    change_id = write.changes[0].change_id
    version = next(
        change.version or found.version
        for change in found.changes
        if change.change_id == change_id
    )
    return objects.StoredObject(
        write.kind, write.name, version, write.value, write.changes
    )
