"""Counters of a balancer, read by the metrics endpoint."""

import enum


class Metric(enum.Enum):
    """A counter metric: name, name of its label, and description."""

    DATAGRAMS = ('datagrams', 'source', 'Datagrams received.')
    MALFORMED = ('malformed_datagrams', 'source', 'Malformed, dropped.')
    UNAUTHENTICATED = (
        'unauthenticated_messages',
        'source',
        'Not authentic, dropped.',
    )
    LOOKUPS = ('lookups', 'result', 'How packets of streams were resolved.')
    STREAMS_OPENED = ('streams_opened', 'service', 'OPEN packets forwarded.')
    STREAMS_BROKEN = (
        'streams_broken',
        'service',
        'Packets of streams that were refused for a lost upstream.',
    )
    REQUESTS_SENT = ('new_work', 'service', 'Requests sent to upstreams.')
    REFUSALS = ('refusals', 'reason', 'Refusals sent to callers.')
    RETURNS = (
        'refused_callers',
        'event',
        'Refused callers that were told when to return, and that did.',
    )
    RETRIES = ('retries', 'service', 'Requests sent again after a refusal.')
    DROPS = ('dropped_datagrams', 'reason', 'Datagrams dropped.')
    CONTROL_BYTES_SENT = (
        'control_sent_bytes',
        'message',
        'Control traffic sent.',
    )
    CONTROL_BYTES_RECEIVED = (
        'control_received_bytes',
        'message',
        'Control traffic received.',
    )
    FORWARDS = ('forwarded_datagrams', 'purpose', 'Datagrams passed to peers.')
    PAUSES = ('pauses', 'cause', 'Pauses of the process.')

    def __init__(self, title: str, label: str, description: str) -> None:
        self.title = title
        self.label = label
        self.description = description


class Counters:
    """Counts by metric and label value.

    Examples
    --------
    >>> counters = Counters()
    >>> counters.add(Metric.REFUSALS, 'no-quorum')
    >>> counters.counts_by_label(Metric.REFUSALS)
    {'no-quorum': 1}
    """

    def __init__(self) -> None:
        self._cells_by_key: dict[tuple[Metric, str], list[int]] = {}

    def cell(self, metric: Metric, label: str) -> list[int]:
        """Return the one-item list that holds a count.

        Code that runs for every packet keeps the cell and increments its item,
        which saves the lookup of the count.
        """
        return self._cells_by_key.setdefault((metric, label), [0])

    def add(self, metric: Metric, label: str, amount: int = 1) -> None:
        """Add `amount` to a count."""
        self.cell(metric, label)[0] += amount

    def counts_by_label(self, metric: Metric) -> dict[str, int]:
        """Return the counts of one metric."""
        # The metrics endpoint calls this from another thread, so the items are
        # copied in one step.
        return {
            label: cell[0]
            for (known, label), cell in list(self._cells_by_key.items())
            if known is metric
        }
