"""Requests, and the ledger that lets each run at most once.

The at-most-once guarantee holds for requests that are not idempotent.
"""

from acaciamoor.requests.ledger import LedgerLimits
from acaciamoor.requests.ledger import RequestLedger
from acaciamoor.requests.request_part import Origin
from acaciamoor.requests.request_part import Reason
from acaciamoor.requests.request_part import RequestKey
from acaciamoor.requests.request_part import RequestPart
from acaciamoor.requests.verdict import Admission
from acaciamoor.requests.verdict import RequestState
from acaciamoor.requests.verdict import Verdict

__all__ = [
    'Admission',
    'LedgerLimits',
    'Origin',
    'Reason',
    'RequestKey',
    'RequestLedger',
    'RequestPart',
    'RequestState',
    'Verdict',
]
