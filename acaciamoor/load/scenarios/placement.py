"""Placement scenarios: stragglers, a peak, and unequal upstreams.

Latencies include the round trip of the caller: 1 ms each way between the
caller and a balancer, and 0.2 ms on each link inside the data centre.
"""

import datetime

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement_capacity
from acaciamoor.load.scenarios import placement_changes
from acaciamoor.load.scenarios import placement_load as loads
from acaciamoor.load.scenarios import placement_measurements
from acaciamoor.load.scenarios import placement_naive as naive_hosts
from acaciamoor.load.scenarios import placement_returns
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_world as worlds
from acaciamoor.load.scenarios import registry as registries
from acaciamoor.placement import messages
from acaciamoor.wire import envelope as wire

Baseline = naive_hosts.Baseline
Measurements = list[measurement.Measurement]

# Share of the slots that are in use on average.
UTILIZATION = 0.6
# Demand at the peak, as a multiple of the capacity.
PEAK_DEMAND = 3.0
_SECOND = datetime.timedelta(seconds=1)
# Maximum virtual time of a run; a longer one would exceed 15 s of real time.
_MAX_DURATION = 15 * _SECOND
_PEAK_START = 4 * _SECOND
_PEAK_END = 8 * _SECOND


def _start_world(
    options: registries.Options,
    baseline: Baseline | None,
    upstreams: int | None = None,
) -> worlds.World:
    settings = world_settings.WorldSettings(
        balancers=options.balancers,
        upstreams=upstreams or options.upstreams,
        seed=options.seed,
    )
    world = worlds.World(settings, baseline)
    world.start()
    return world


def _run_steady_load(
    world: worlds.World, mix: loads.Mix, options: registries.Options
) -> loads.Load:
    # The rate assumes stragglers, so that the run without them has the same
    # arrivals.
    rate = UTILIZATION * loads.capacity(world.settings, loads.Mix())
    load = loads.Load(world, mix, lambda elapsed: rate, options.seed)
    load.run(min(options.duration, _MAX_DURATION), 5 * _SECOND)
    return load


def run_stragglers(options: registries.Options) -> Measurements:
    """Compare short requests with and without stragglers among them."""
    collector = placement_measurements.MeasurementCollector(
        'placement-stragglers', options.seed
    )
    without = _run_steady_load(
        _start_world(options, None), loads.Mix(straggler_factor=1.0), options
    )
    # Excludes stragglers here too, so that the same requests are compared.
    p99_alone = loads.short_p99_ms(without.requests)
    collector.add(
        None, 'p99 of short work without stragglers', p99_alone, 'ms'
    )
    for declared_share, limit in ((0.0, 1.25), (0.5, 1.25), (1.0, 1.1)):
        mix = loads.Mix(declared_share=declared_share)
        load = _run_steady_load(_start_world(options, None), mix, options)
        p99 = loads.short_p99_ms(load.requests)
        label = (
            f'p99 of short work, {declared_share:.0%} of long work announced'
        )
        collector.add(None, label, p99, 'ms')
        collector.add(
            None,
            f'{label}, relative',
            p99 / p99_alone,
            'ratio',
            placement_measurements.make_target(
                placement_measurements.LESS, limit
            ),
        )
    for baseline in Baseline:
        load = _run_steady_load(
            _start_world(options, baseline), loads.Mix(), options
        )
        p99 = loads.short_p99_ms(load.requests)
        collector.add(baseline, 'p99 of short work', p99, 'ms')
        collector.add(
            baseline, 'p99 of short work, relative', p99 / p99_alone, 'ratio'
        )
    return collector.measurements


def run_peak(options: registries.Options) -> Measurements:
    """Measure 4 s of demand at three times the capacity."""
    collector = placement_measurements.MeasurementCollector(
        'placement-peak', options.seed
    )
    for baseline, declared_share in (
        (None, 0.5),
        (None, 1.0),
        (Baseline.TWO_OWN_COUNTS, 0.5),
        (Baseline.LEAST_EXACT_COUNT, 0.5),
    ):
        world = _start_world(options, baseline)
        mix = loads.Mix(timeout=3 * _SECOND, declared_share=declared_share)
        full = loads.capacity(world.settings, mix)

        def rate(elapsed: datetime.timedelta, full: float = full) -> float:
            at_peak = _PEAK_START <= elapsed < _PEAK_END
            return full * (PEAK_DEMAND if at_peak else UTILIZATION)

        load = loads.Load(world, mix, rate, options.seed)
        load.run(3 * _PEAK_START, 3 * _SECOND)
        label = '' if declared_share < 1.0 else ', all long work announced'
        _add_peak_measurements(collector, baseline, world, load, label)
    return collector.measurements


def _add_peak_measurements(
    collector: placement_measurements.MeasurementCollector,
    baseline: Baseline | None,
    world: worlds.World,
    load: loads.Load,
    label: str,
) -> None:
    start, end = load.start + _PEAK_START, load.start + _PEAK_END
    at_peak = [i for i in load.requests if start <= i.record.sent_at < end]
    worked = sum(
        (_run_time_between(item, start, end) for item in load.requests),
        datetime.timedelta(0),
    )
    slots = world.settings.upstreams * world.settings.slots
    collector.add(
        baseline,
        f'goodput at the peak, share of the slots{label}',
        worked / (slots * (end - start)),
        'ratio',
        placement_measurements.make_target(
            placement_measurements.AT_LEAST, 0.9
        ),
    )
    refused = [
        item.record.latency
        for item in at_peak
        if item.record.outcome is wire.Outcome.NOT_RUN
    ]
    collector.add(
        baseline,
        f'p99 of refusals at the peak{label}',
        loads.percentile_ms(refused, 0.99),
        'ms',
        placement_measurements.make_target(placement_measurements.LESS, 10.0),
    )
    p99 = loads.short_p99_ms(at_peak)
    collector.add(baseline, f'p99 of short work{label}', p99, 'ms')
    short = [item for item in at_peak if not item.straggler]
    completed = sum(item.completed for item in short)
    share = completed / len(short)
    collector.add(baseline, f'short work completed{label}', share, 'ratio')
    late_times = sorted(
        item.record.sent_at - end
        for item in load.requests
        if item.record.sent_at >= end and _is_late(item)
    )
    recovery = _recovery_time(late_times).total_seconds()
    collector.add(baseline, f'recovery{label}', recovery, 's')


def _recovery_time(late_times: list[datetime.timedelta]) -> datetime.timedelta:
    """Return the time after the peak until 0.5 s pass without late requests.

    This is the time of the last late request before such a gap.
    """
    recovered_at = datetime.timedelta(0)
    for sent_at in late_times:
        if sent_at - recovered_at >= _SECOND / 2:
            break
        recovered_at = sent_at
    return recovered_at


def _run_time_between(
    item: loads.SentRequest, start: datetime.timedelta, end: datetime.timedelta
) -> datetime.timedelta:
    if not item.completed:
        return datetime.timedelta(0)
    ended = item.record.ended_at
    worked = min(ended, end) - max(ended - item.run_time, start)
    return max(worked, datetime.timedelta(0))


def _is_late(item: loads.SentRequest) -> bool:
    """Return whether a short request waited over 50 ms or got no answer."""
    if item.straggler:
        return False
    if not item.completed:
        return True
    waited = item.record.latency - item.run_time
    return waited > datetime.timedelta(milliseconds=50)


def run_imbalance(options: registries.Options) -> Measurements:
    """Measure how evenly requests spread over equal upstreams."""
    collector = placement_measurements.MeasurementCollector(
        'placement-imbalance', options.seed
    )
    for baseline in (None, Baseline.HASH, Baseline.TWO_OWN_COUNTS):
        world = _start_world(options, baseline)
        rate = UTILIZATION * loads.capacity(world.settings, loads.Mix(0.0))
        load = loads.Load(
            world,
            loads.Mix(0.0),
            lambda elapsed, rate=rate: rate,
            options.seed,
        )
        load.run(min(options.duration, 8 * _SECOND), _SECOND)
        runs = world.oracle.runs_by_upstream
        ratio = max(runs.values()) / (
            sum(runs.values()) / len(world.upstreams)
        )
        collector.add(
            baseline,
            'busiest upstream to the mean, requests',
            ratio,
            'ratio',
            placement_measurements.make_target(
                placement_measurements.LESS, 1.1
            ),
        )
    return collector.measurements


def run_cold_upstream(options: registries.Options) -> Measurements:
    """Add an upstream that is ten times slower for its first 5 s."""
    collector = placement_measurements.MeasurementCollector(
        'placement-cold-upstream', options.seed
    )
    for baseline in (
        None,
        Baseline.TWO_OWN_COUNTS,
        Baseline.LEAST_EXACT_COUNT,
    ):
        world = _start_world(options, baseline, options.upstreams + 1)
        *warm, cold = world.upstreams
        world.set_upstreams(warm)
        world.run_for(_SECOND)
        added_at = world.now + 3 * _SECOND
        world.stand_ins_by_id[cold.upstream_id].slowdown = (
            lambda now, end=added_at + 5 * _SECOND: 10.0 if now < end else 1.0
        )
        world.network.call_later(
            3 * _SECOND,
            lambda world=world, warm=warm, cold=cold: world.set_upstreams(
                [*warm, cold]
            ),
        )
        load = _run_steady_load(world, loads.Mix(), options)
        collector.add(
            baseline,
            'p99 of short work',
            loads.short_p99_ms(load.requests),
            'ms',
        )
    return collector.measurements


def run_misleading_report(options: registries.Options) -> Measurements:
    """Let one upstream always report no load, and another full slots."""
    collector = placement_measurements.MeasurementCollector(
        'placement-misleading-report', options.seed
    )
    for baseline in (
        None,
        Baseline.TWO_REPORTED_COUNTS,
        Baseline.LEAST_REPORTED_COUNT,
    ):
        world = _start_world(options, baseline)
        idle, full = world.upstreams[0], world.upstreams[1]
        _send_misleading_reports(world, idle.upstream_id, 0)
        _send_misleading_reports(world, full.upstream_id, full.slots)
        load = _run_steady_load(world, loads.Mix(timeout=_SECOND), options)
        collector.add(
            baseline,
            'p99 of short work',
            loads.short_p99_ms(load.requests),
            'ms',
        )
        done = sum(item.completed for item in load.requests)
        collector.add(
            baseline, 'completed requests', done / len(load.requests), 'ratio'
        )
        runs = world.oracle.runs_by_upstream
        mean = sum(runs.values()) / len(world.upstreams)
        for label, upstream in (('no load', idle), ('full slots', full)):
            share = runs[upstream.upstream_id] / mean
            collector.add(
                baseline, f'runs at the one that shows {label}', share, 'ratio'
            )
    return collector.measurements


def _send_misleading_reports(
    world: worlds.World, upstream_id: str, running: int
) -> None:
    if world.counts is not None:
        world.counts.false_reports_by_id[upstream_id] = running
        return
    report = messages.LoadReport(upstream_id, running)
    world.network.send(upstream_id, world.ranking[0], report)
    world.network.call_later(
        naive_hosts.REPORT_INTERVAL,
        lambda: _send_misleading_reports(world, upstream_id, running),
    )


def register(registry: registries.ScenarioRegistry) -> None:
    """Add all placement scenarios to `registry`."""
    runs = (
        ('placement-stragglers', run_stragglers),
        ('placement-peak', run_peak),
        ('placement-imbalance', run_imbalance),
        ('placement-cold-upstream', run_cold_upstream),
        ('placement-misleading-report', run_misleading_report),
        ('placement-placer-death', placement_changes.run_placer_death),
        ('placement-frozen-placer', placement_changes.run_frozen_placer),
        ('placement-uneven-views', placement_changes.run_uneven_views),
        ('placement-drain', placement_changes.run_drain),
        ('placement-capacity', placement_capacity.run_capacity),
        (placement_returns.NAME, placement_returns.run),
    )
    for name, run in runs:
        summary = run.__doc__.partition('\n')[0]
        registry.add(registries.Scenario(name, summary, run))
