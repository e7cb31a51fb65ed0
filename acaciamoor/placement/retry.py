"""Limit on the rate of retries."""

# Capacity of the bucket: retries that may be sent in one burst.
_MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    It limits retries to a fixed share of the requests, so that they cannot
    multiply the load of an overloaded service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5)
    >>> [budget.try_withdraw() for _ in range(11)].count(True)
    10
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = _MAX_TOKENS

    def deposit(self) -> None:
        """Credit the budget for one new request."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.ratio)

    def try_withdraw(self) -> bool:
        """Charge the budget for one retry; return False if it is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
