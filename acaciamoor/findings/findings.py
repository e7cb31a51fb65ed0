"""Findings with their places, and the exception group that holds them."""

import collections.abc

import msgspec


class Finding(msgspec.Struct, frozen=True, order=True):
    """A problem with a setting, file, object or request, and its place.

    Parameters
    ----------
    place : str
        What the problem is about: a flag (``--queue-limit``), an environment
        variable, a path into an object
        (``upstreams_by_id.desk-1.address``), a file or an address.
    message : str
        Description of the problem, or of what is valid.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


class FindingError(ValueError):
    """Exception for a single finding, a member of `FindingsError`."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class FindingsError(ExceptionGroup):
    """Exception group of all findings of one check.

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
        """Return a group of `findings`, sorted by place and message.

        Parameters
        ----------
        message : str
            Summary of what failed.
        findings : iterable of Finding
            At least one finding.
        """
        return cls(message, [FindingError(item) for item in sorted(findings)])

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Findings in the order of the group, without nested groups."""
        return tuple(
            error.finding
            for error in self.exceptions
            if isinstance(error, FindingError)
        )

    def derive(
        self, excs: collections.abc.Sequence[Exception]
    ) -> 'FindingsError':
        """Return a group of the same type with other exceptions.

        `ExceptionGroup` calls this to split a group.
        """
        return FindingsError(self.message, excs)
