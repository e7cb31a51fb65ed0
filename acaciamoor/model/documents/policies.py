"""Document of a policy."""

import datetime

import pydantic

from acaciamoor import model
from acaciamoor.model.documents import checks

_DEFAULT = model.Policy()


class PolicyDocument(checks.Document):
    """Stored form of `Policy`, with durations in seconds."""

    queue_limit: int = pydantic.Field(_DEFAULT.queue_limit, ge=1, le=1_000_000)
    long_share: float = pydantic.Field(_DEFAULT.long_share, gt=0.0, le=1.0)
    retry_ratio: float = pydantic.Field(_DEFAULT.retry_ratio, ge=0.0, le=1.0)
    slow_start_s: float = pydantic.Field(
        _DEFAULT.slow_start.total_seconds(), ge=0.0, le=3600.0
    )
    ejection_floor: float = pydantic.Field(
        _DEFAULT.ejection_floor, ge=0.0, le=1.0
    )

    @classmethod
    def of(cls, policy: model.Policy) -> 'PolicyDocument':
        """Return the document of `policy`."""
        return cls(
            queue_limit=policy.queue_limit,
            long_share=policy.long_share,
            retry_ratio=policy.retry_ratio,
            slow_start_s=policy.slow_start.total_seconds(),
            ejection_floor=policy.ejection_floor,
        )

    def to_policy(self) -> model.Policy:
        """Return the domain object."""
        return model.Policy(
            queue_limit=self.queue_limit,
            long_share=self.long_share,
            retry_ratio=self.retry_ratio,
            slow_start=datetime.timedelta(seconds=self.slow_start_s),
            ejection_floor=self.ejection_floor,
        )
