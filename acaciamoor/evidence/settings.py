"""Thresholds of the shared evidence."""

import datetime

import msgspec

_SECOND = datetime.timedelta(seconds=1)


class EvidenceSettings(msgspec.Struct, frozen=True):
    """Thresholds of the shared evidence.

    Parameters
    ----------
    min_unanswered : float
        Unanswered openings, since the last answer, that make an upstream
        silent. They lose weight with time, so that two count within 2 s.
        A host counts once for each upstream and interval, so that a single
        host needs two intervals.
    min_mixed : int
        Unanswered openings in an interval that make an upstream silent
        beside at most half as many answers.
    min_answered : int
        Openings without an unanswered one, in the intervals since the last
        unanswered one, after which a silent upstream counts as back although
        it has answered no request.
    memory : datetime.timedelta
        Time in which evidence loses two thirds of its weight. Without any
        new evidence for that time, a silent upstream is used again; this is
        no recovery.
    min_partial : float
        Unanswered openings within `memory` that make an upstream one that
        fails in part, if they are `partial_share` of its openings.
    partial_share : float
        Share of unanswered openings. Callers lose far fewer packets on usual
        paths.
    flap_window : datetime.timedelta
        An upstream that falls silent within this time after its recovery, or
        after the ban that followed, flaps.
    initial_ban, max_ban : datetime.timedelta
        Time for which an upstream that flaps is avoided after its recovery.
        It doubles each time.
    hang_time : datetime.timedelta
        Time after a recovery for which requests of the time before may still
        count as in progress; callers and hosts give up by then.
    max_avoided : float
        Largest share of the capacity of a service that is avoided, beside a
        single upstream with no more than half of it. With a share of 0.5 the
        rest was overloaded while half of a service was silent; see
        docs/design/shared-evidence.md.
    max_load : float
        Load of the other upstreams up to which those are avoided that answer
        by turns or in part. Beyond it they are needed.
    trials : float
        Openings in an interval, by all hosts of a data centre together, that
        test each avoided upstream.
    max_trial_share : float
        Largest share of the new flows of a service that are trials. One that
        fails costs its caller 40 ms.
    """

    min_unanswered: float = 1.5
    min_mixed: int = 3
    min_answered: int = 3
    memory: datetime.timedelta = 3 * _SECOND
    min_partial: float = 5.0
    partial_share: float = 0.3
    flap_window: datetime.timedelta = 10 * _SECOND
    initial_ban: datetime.timedelta = _SECOND
    max_ban: datetime.timedelta = 16 * _SECOND
    hang_time: datetime.timedelta = 1.5 * _SECOND
    max_avoided: float = 0.3
    max_load: float = 0.6
    trials: float = 1.5
    max_trial_share: float = 0.1
