"""Placement under load: stragglers, a peak, and unequal upstreams.

Latencies contain the way from the caller and back: 1 ms each way between the
caller and a balancer, and 0.2 ms on each link inside the data centre.
"""

import datetime

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement_capacity
from acaciamoor.load.scenarios import placement_changes
from acaciamoor.load.scenarios import placement_figures as figures
from acaciamoor.load.scenarios import placement_load as loads
from acaciamoor.load.scenarios import placement_naive as naive_hosts
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_world as worlds
from acaciamoor.load.scenarios import registry as registries
from acaciamoor.placement import messages
from acaciamoor.wire import envelope as wire

Kind = naive_hosts.NaiveKind
Measurements = list[measurement.Measurement]

USED_SHARE = 0.6
PEAK = 3.0
_SECOND = datetime.timedelta(seconds=1)
# Longest virtual time of a run; longer ones would exceed 15 s of real time.
_LONGEST = 15 * _SECOND
_PEAK_START = 4 * _SECOND
_PEAK_END = 8 * _SECOND


def _world(
    options: registries.Options,
    kind: Kind | None,
    upstreams: int | None = None,
) -> worlds.World:
    settings = world_settings.WorldSettings(
        balancers=options.balancers,
        upstreams=upstreams or options.upstreams,
        seed=options.seed,
    )
    world = worlds.World(settings, kind)
    world.start()
    return world


def _steady(
    world: worlds.World, mix: loads.Mix, options: registries.Options
) -> loads.Load:
    # Arrivals are those with stragglers, also in the run without them.
    rate = USED_SHARE * loads.capacity(world.settings, loads.Mix())
    load = loads.Load(world, mix, lambda elapsed: rate, options.seed)
    load.run(min(options.duration, _LONGEST), 5 * _SECOND)
    return load


def run_stragglers(options: registries.Options) -> Measurements:
    """Measure short work beside stragglers, with the same arrivals."""
    out = figures.Figures('placement-stragglers', options.seed)
    without = _steady(_world(options, None), loads.Mix(factor=1.0), options)
    # The same requests are compared: the straggling ones are left out.
    alone = loads.short_p99_ms(without.sent)
    out.add(None, 'p99 of short work without stragglers', alone, 'ms')
    for announced, bound in ((0.0, 1.25), (0.5, 1.25), (1.0, 1.1)):
        mix = loads.Mix(announced=announced)
        load = _steady(_world(options, None), mix, options)
        p99 = loads.short_p99_ms(load.sent)
        label = f'p99 of short work, {announced:.0%} of long work announced'
        out.add(None, label, p99, 'ms')
        out.add(
            None,
            f'{label}, relative',
            p99 / alone,
            'ratio',
            figures.target(figures.LESS, bound),
        )
    for kind in Kind:
        load = _steady(_world(options, kind), loads.Mix(), options)
        p99 = loads.short_p99_ms(load.sent)
        out.add(kind, 'p99 of short work', p99, 'ms')
        out.add(kind, 'p99 of short work, relative', p99 / alone, 'ratio')
    return out.measurements


def run_peak(options: registries.Options) -> Measurements:
    """Measure 4 s of demand at three times the capacity."""
    out = figures.Figures('placement-peak', options.seed)
    for kind, announced in (
        (None, 0.5),
        (None, 1.0),
        (Kind.TWO_OWN, 0.5),
        (Kind.LEAST_EXACT, 0.5),
    ):
        world = _world(options, kind)
        mix = loads.Mix(timeout=3 * _SECOND, announced=announced)
        full = loads.capacity(world.settings, mix)

        def rate(elapsed: datetime.timedelta, full: float = full) -> float:
            at_peak = _PEAK_START <= elapsed < _PEAK_END
            return full * (PEAK if at_peak else USED_SHARE)

        load = loads.Load(world, mix, rate, options.seed)
        load.run(3 * _PEAK_START, 3 * _SECOND)
        label = '' if announced < 1.0 else ', all long work announced'
        _add_peak(out, kind, world, load, label)
    return out.measurements


def _add_peak(
    out: figures.Figures,
    kind: Kind | None,
    world: worlds.World,
    load: loads.Load,
    label: str,
) -> None:
    start, end = load.start + _PEAK_START, load.start + _PEAK_END
    at_peak = [i for i in load.sent if start <= i.record.sent_at < end]
    worked = sum(
        (_work_between(item, start, end) for item in load.sent),
        datetime.timedelta(0),
    )
    slots = world.settings.upstreams * world.settings.slots
    out.add(
        kind,
        f'goodput at the peak, share of the slots{label}',
        worked / (slots * (end - start)),
        'ratio',
        figures.target(figures.AT_LEAST, 0.9),
    )
    refused = [
        item.record.latency
        for item in at_peak
        if item.record.outcome is wire.Outcome.NOT_RUN
    ]
    out.add(
        kind,
        f'p99 of refusals at the peak{label}',
        loads.percentile_ms(refused, 0.99),
        'ms',
        figures.target(figures.LESS, 10.0),
    )
    p99 = loads.short_p99_ms(at_peak)
    out.add(kind, f'p99 of short work{label}', p99, 'ms')
    short = [item for item in at_peak if not item.straggler]
    completed = sum(item.completed for item in short)
    share = completed / len(short)
    out.add(kind, f'short work completed{label}', share, 'ratio')
    late = sorted(
        item.record.sent_at - end
        for item in load.sent
        if item.record.sent_at >= end and _waited_long(item)
    )
    recovery = _first_calm(late).total_seconds()
    out.add(kind, f'recovery{label}', recovery, 's')


def _first_calm(late: list[datetime.timedelta]) -> datetime.timedelta:
    """Return the last late request before half a second without any."""
    calm = datetime.timedelta(0)
    for instant in late:
        if instant - calm >= _SECOND / 2:
            break
        calm = instant
    return calm


def _work_between(
    item: loads.Sent, start: datetime.timedelta, end: datetime.timedelta
) -> datetime.timedelta:
    if not item.completed:
        return datetime.timedelta(0)
    ended = item.record.ended_at
    worked = min(ended, end) - max(ended - item.service, start)
    return max(worked, datetime.timedelta(0))


def _waited_long(item: loads.Sent) -> bool:
    if item.straggler:
        return False
    if not item.completed:
        return True
    waited = item.record.latency - item.service
    return waited > datetime.timedelta(milliseconds=50)


def run_imbalance(options: registries.Options) -> Measurements:
    """Measure how evenly requests spread over equal upstreams."""
    out = figures.Figures('placement-imbalance', options.seed)
    for kind in (None, Kind.HASH, Kind.TWO_OWN):
        world = _world(options, kind)
        rate = USED_SHARE * loads.capacity(world.settings, loads.Mix(0.0))
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
        out.add(
            kind,
            'busiest upstream to the mean, requests',
            ratio,
            'ratio',
            figures.target(figures.LESS, 1.1),
        )
    return out.measurements


def run_cold_upstream(options: registries.Options) -> Measurements:
    """Add an upstream that is ten times slower for its first 5 s."""
    out = figures.Figures('placement-cold-upstream', options.seed)
    for kind in (None, Kind.TWO_OWN, Kind.LEAST_EXACT):
        world = _world(options, kind, options.upstreams + 1)
        *warm, cold = world.upstreams
        world.set_upstreams(warm)
        world.run_for(_SECOND)
        added_at = world.now + 3 * _SECOND
        world.stand_ins_by_id[cold.upstream_id].slowness = (
            lambda now, end=added_at + 5 * _SECOND: 10.0 if now < end else 1.0
        )
        world.network.call_later(
            3 * _SECOND,
            lambda world=world, warm=warm, cold=cold: world.set_upstreams(
                [*warm, cold]
            ),
        )
        load = _steady(world, loads.Mix(), options)
        out.add(kind, 'p99 of short work', loads.short_p99_ms(load.sent), 'ms')
    return out.measurements


def run_misleading_report(options: registries.Options) -> Measurements:
    """Let one upstream always report no load and one always full slots."""
    out = figures.Figures('placement-misleading-report', options.seed)
    for kind in (None, Kind.TWO_REPORTED, Kind.LEAST_REPORTED):
        world = _world(options, kind)
        idle, full = world.upstreams[0], world.upstreams[1]
        _report(world, idle.upstream_id, 0)
        _report(world, full.upstream_id, full.slots)
        load = _steady(world, loads.Mix(timeout=_SECOND), options)
        out.add(kind, 'p99 of short work', loads.short_p99_ms(load.sent), 'ms')
        done = sum(item.completed for item in load.sent)
        out.add(kind, 'completed requests', done / len(load.sent), 'ratio')
        runs = world.oracle.runs_by_upstream
        mean = sum(runs.values()) / len(world.upstreams)
        for label, upstream in (('no load', idle), ('full slots', full)):
            share = runs[upstream.upstream_id] / mean
            out.add(
                kind, f'runs at the one that shows {label}', share, 'ratio'
            )
    return out.measurements


def _report(world: worlds.World, upstream_id: str, running: int) -> None:
    if world.counts is not None:
        world.counts.false_reports_by_id[upstream_id] = running
        return
    report = messages.LoadReport(upstream_id, running)
    world.network.send(upstream_id, world.ranking[0], report)
    world.network.call_later(
        naive_hosts.REPORT_PERIOD,
        lambda: _report(world, upstream_id, running),
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
    )
    for name, run in runs:
        summary = run.__doc__.partition('\n')[0]
        registry.add(registries.Scenario(name, summary, run))
