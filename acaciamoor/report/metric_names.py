"""Names of the balancer metrics from which the report is computed.

If no balancer exposes a metric, it is reported as missing data.
"""

SERVICE_LABEL = 'service'
# Counter of finished requests, by the label ``outcome``.
REQUESTS = 'acaciamoor_balancer_request_outcomes_total'
OUTCOME_LABEL = 'outcome'
ANSWERED = 'answered'
# Counters of streams that were opened, and of streams that ended without CLOSE
# because their upstream was lost or their flow could not be routed.
STREAMS_OPENED = 'acaciamoor_balancer_streams_opened_total'
STREAMS_BROKEN = 'acaciamoor_balancer_streams_broken_total'
# Histogram of the time from arrival to answer, in seconds, of requests whose
# callers did not declare them long.
SHORT_WORK_BUCKET = 'acaciamoor_balancer_short_work_seconds_bucket'
BUCKET_LABEL = 'le'

# Gauge of draining upstreams, from the view of each host.
DRAINING = 'acaciamoor_balancer_draining_upstreams'

ALL = frozenset([REQUESTS, STREAMS_OPENED, STREAMS_BROKEN, SHORT_WORK_BUCKET])
