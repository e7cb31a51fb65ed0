"""Result of the check of a configuration file."""

import collections.abc

import msgspec

from acaciamoor import findings
from acaciamoor.configuration_check import differences as comparison

_IN_FORCE_PREFIX = 'against'


class Report(msgspec.Struct, frozen=True):
    """Findings by kind, and differences from the version in force.

    Parameters
    ----------
    errors : tuple of Finding
        What the product refuses.
    never_matched : tuple of Finding
        Entries that never receive work.
    contradictions : tuple of Finding
        Limits that cannot hold, or have no effect, beside other limits.
    differences : tuple of Difference
        Differences from the version in force, which are no findings.
    """

    errors: tuple[findings.Finding, ...] = ()
    never_matched: tuple[findings.Finding, ...] = ()
    contradictions: tuple[findings.Finding, ...] = ()
    differences: tuple[comparison.Difference, ...] = ()

    @property
    def has_findings(self) -> bool:
        """Whether anything but differences was found."""
        return bool(self.errors or self.never_matched or self.contradictions)


def damage_in_force(
    *damage: findings.Finding,
) -> collections.abc.Iterator[findings.Finding]:
    """Yield the damage to the version in force, with places that say so."""
    for item in damage:
        yield findings.Finding(
            f'{_IN_FORCE_PREFIX} {item.place}', item.message
        )
