"""Requests, and the ledger that lets each run at most once.

The at-most-once guarantee holds for requests that are not idempotent.
"""

from acaciamoor.requests.ledger import LedgerLimits
from acaciamoor.requests.ledger import RequestLedger
from acaciamoor.requests.verdict import Admission
from acaciamoor.requests.verdict import RequestState
from acaciamoor.requests.verdict import Verdict
from acaciamoor.requests.work import Origin
from acaciamoor.requests.work import Reason
from acaciamoor.requests.work import RequestKey
from acaciamoor.requests.work import Work

__all__ = [
    'Admission',
    'LedgerLimits',
    'Origin',
    'Reason',
    'RequestKey',
    'RequestLedger',
    'RequestState',
    'Verdict',
    'Work',
]
