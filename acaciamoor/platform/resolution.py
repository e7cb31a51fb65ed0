"""Finds out whether a write whose reply was lost took effect."""

import enum

from acaciamoor.platform import errors
from acaciamoor.platform import objects

# Changes kept with an object. A writer that reads back after more changes
# than this by others cannot tell whether its own write was among them.
CHANGES_KEPT = 16


class Verdict(enum.Enum):
    """What the stored object says about a write."""

    APPLIED = 'applied'
    NOT_YET = 'not yet'
    BEATEN = 'beaten'
    UNDECIDED = 'undecided'


def changes_after(
    base: objects.StoredObject | None, change_id: str
) -> tuple[objects.Change, ...]:
    """Return the changes to store with a write on top of `base`."""
    own = objects.Change(change_id)
    if base is None:
        return (own,)
    # The writer of `base` did not know the version it would get.
    past = tuple(
        objects.Change(change.change_id, change.version or base.version)
        for change in base.changes
    )
    return (own, *past)[:CHANGES_KEPT]


def judge(
    write: objects.Write,
    base: objects.StoredObject | None,
    found: objects.StoredObject | None,
) -> Verdict:
    """Return what `found` shows about an earlier attempt of `write`.

    Parameters
    ----------
    write : Write
        The write whose reply was lost.
    base : StoredObject or None
        The object that it replaces; None for a creation.
    found : StoredObject or None
        The object as read back; None if it does not exist.
    """
    if found is None:
        return Verdict.NOT_YET if base is None else Verdict.UNDECIDED
    if contains(found, write):
        return Verdict.APPLIED
    if found.version == write.expected_version:
        return Verdict.NOT_YET
    ids = [change.change_id for change in found.changes]
    if base is None:
        complete = 0 < len(ids) < CHANGES_KEPT
    else:
        # The history reaches back to the replaced object, so it would show
        # the write if it had taken effect.
        complete = bool(base.changes) and base.changes[0].change_id in ids
    return Verdict.BEATEN if complete else Verdict.UNDECIDED


def contains(found: objects.StoredObject, write: objects.Write) -> bool:
    """Return whether `write` is among the changes stored with `found`."""
    change_id = write.changes[0].change_id
    return any(change.change_id == change_id for change in found.changes)


def conclude(
    verdict: Verdict,
    write: objects.Write,
    found: objects.StoredObject | None,
) -> objects.StoredObject:
    """Return the object that `write` stored, or raise why there is none."""
    if verdict is Verdict.APPLIED and found is not None:
        return as_applied(write, found)
    if verdict is Verdict.BEATEN:
        raise errors.Conflict(write.name, found)
    raise errors.OutcomeUnknown(
        f'{write.name}: later changes hide whether the write took effect'
    )


def as_applied(
    write: objects.Write, found: objects.StoredObject
) -> objects.StoredObject:
    """Return the object as `write` stored it, before later changes."""
    change_id = write.changes[0].change_id
    version = next(
        change.version or found.version
        for change in found.changes
        if change.change_id == change_id
    )
    return objects.StoredObject(
        write.kind, write.name, version, write.value, write.changes
    )
