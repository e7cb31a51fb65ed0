"""Versions of a platform that may be restored from an older copy.

A platform that comes back from a copy gives out revisions again, for other
contents. It counts these restorations in an era, which its responses carry. A
version combines both: each version of an era is above all of the eras before,
so that versions order what the platform holds, as revisions alone do not.
"""

# Revisions below 2**48 would last for 9,000 years at 1,000 writes a second.
_REVISION_BITS = 48
# Versions are 64-bit integers in messages.
MAX_REVISION = (1 << _REVISION_BITS) - 1
MAX_ERA = (1 << (63 - _REVISION_BITS)) - 1


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era.

    Raises
    ------
    ValueError
        If the era or the revision is out of range.

    Examples
    --------
    >>> make_version(0, 7)
    7
    >>> make_version(1, 900) < make_version(2, 7)
    True
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f'era {era} is out of range')
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(f'revision {revision} is out of range')
    return era << _REVISION_BITS | revision


def get_era(version: int) -> int:
    """Return the era of a version."""
    return version >> _REVISION_BITS


def get_revision(version: int) -> int:
    """Return the revision of a version within its era."""
    return version & MAX_REVISION


def format_version(version: int) -> str:
    """Return the text of a version for logs, with its era if it has one.

    Examples
    --------
    >>> format_version(make_version(2, 271))
    '2.271'
    >>> format_version(271)
    '271'
    """
    era = get_era(version)
    revision = get_revision(version)
    return f'{era}.{revision}' if era else str(revision)
