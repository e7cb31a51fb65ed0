"""Metrics of the balancers that the report reads.

A metric that no balancer has is reported as missing data.
"""

SERVICE_LABEL = 'service'
# Requests by how they ended; label ``outcome``.
REQUESTS = 'acaciamoor_balancer_request_outcomes_total'
OUTCOME_LABEL = 'outcome'
ANSWERED = 'answered'
# Streams that were opened, and streams that ended without CLOSE because
# their upstream was lost or the flow could not be routed.
STREAMS_OPENED = 'acaciamoor_balancer_streams_opened_total'
STREAMS_BROKEN = 'acaciamoor_balancer_streams_broken_total'
# Histogram of the time from arrival to answer of work that was not announced
# as long, in seconds.
SHORT_WORK_BUCKET = 'acaciamoor_balancer_short_work_seconds_bucket'
BUCKET_LABEL = 'le'

# Gauge: upstreams that are draining, as each host knows it.
DRAINING = 'acaciamoor_balancer_draining_upstreams'

ALL = frozenset([REQUESTS, STREAMS_OPENED, STREAMS_BROKEN, SHORT_WORK_BUCKET])
