"""Limit on retries."""

# Retries that may be sent at once, whatever the request rate.
_BURST = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries empty.

    Retries stay a fixed share of the requests, so an overloaded service is
    not loaded further by them.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5)
    >>> [budget.spend() for _ in range(11)].count(True)
    10
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = _BURST

    def earn(self) -> None:
        """Take a request of a caller."""
        self._tokens = min(_BURST, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Return whether a retry may be sent, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
