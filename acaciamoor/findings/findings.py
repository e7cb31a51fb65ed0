"""Findings with their place, and the exception group that carries them."""

import collections.abc

import msgspec


class Finding(msgspec.Struct, frozen=True, order=True):
    """One problem and where it was found.

    Parameters
    ----------
    place : str
        A flag (``--queue-limit``), an environment variable, or a path into an
        object (``upstreams_by_id.desk-1.address``).
    message : str
        What is wrong and what is accepted.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


class FindingError(ValueError):
    """A single finding as an exception."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class FindingsError(ExceptionGroup):
    """All findings of one check.

    Examples
    --------
    >>> error = FindingsError.of(
    ...     'bad settings', [Finding('--port', 'must be 1 to 65535')]
    ... )
    >>> [str(finding) for finding in error.findings]
    ['--port: must be 1 to 65535']
    """

    @classmethod
    def of(
        cls, message: str, findings: collections.abc.Iterable[Finding]
    ) -> 'FindingsError':
        """Return the exception group for `findings`, sorted by place."""
        return cls(message, [FindingError(item) for item in sorted(findings)])

    @property
    def findings(self) -> tuple[Finding, ...]:
        """All findings in order of place."""
        return tuple(
            error.finding
            for error in self.exceptions
            if isinstance(error, FindingError)
        )

    def derive(
        self, excs: collections.abc.Sequence[Exception]
    ) -> 'FindingsError':
        """Return a group of the same type for a subset of the errors."""
        return FindingsError(self.message, excs)
