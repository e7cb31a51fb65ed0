"""Decisions of one balancer: typed events in, typed effects out."""

from acaciamoor.balancer.core.core import BalancerCore
from acaciamoor.balancer.core.counters import Counters
from acaciamoor.balancer.core.counters import Metric
from acaciamoor.balancer.core.effects import Effect
from acaciamoor.balancer.core.effects import Exit
from acaciamoor.balancer.core.effects import HoldWatch
from acaciamoor.balancer.core.effects import Note
from acaciamoor.balancer.core.effects import ObserveUpstreams
from acaciamoor.balancer.core.effects import RequestEnded
from acaciamoor.balancer.core.effects import RequestOutcome
from acaciamoor.balancer.core.effects import Severity
from acaciamoor.balancer.core.effects import ToCaller
from acaciamoor.balancer.core.effects import ToPeer
from acaciamoor.balancer.core.effects import ToUpstream
from acaciamoor.balancer.core.effects import WriteStatus
from acaciamoor.balancer.core.events import CallerDatagrams
from acaciamoor.balancer.core.events import Channel
from acaciamoor.balancer.core.events import ChannelEmpty
from acaciamoor.balancer.core.events import Event
from acaciamoor.balancer.core.events import Host
from acaciamoor.balancer.core.events import HostsListed
from acaciamoor.balancer.core.events import KeysChanged
from acaciamoor.balancer.core.events import LeaveRequested
from acaciamoor.balancer.core.events import PeerDatagram
from acaciamoor.balancer.core.events import ServiceChanged
from acaciamoor.balancer.core.events import ServicesListed
from acaciamoor.balancer.core.events import Tick
from acaciamoor.balancer.core.events import UpstreamDatagram
from acaciamoor.balancer.core.events import UpstreamObserved
from acaciamoor.balancer.core.events import Wake
from acaciamoor.balancer.core.events import WatchAlive
from acaciamoor.balancer.core.gauges import Gauge
from acaciamoor.balancer.core.gauges import read_gauge
from acaciamoor.balancer.core.settings import CoreSettings
from acaciamoor.balancer.core.settings import State

__all__ = [
    'BalancerCore',
    'CallerDatagrams',
    'Channel',
    'ChannelEmpty',
    'CoreSettings',
    'Counters',
    'Effect',
    'Event',
    'Exit',
    'Gauge',
    'HoldWatch',
    'Host',
    'HostsListed',
    'KeysChanged',
    'LeaveRequested',
    'Metric',
    'Note',
    'ObserveUpstreams',
    'PeerDatagram',
    'RequestEnded',
    'RequestOutcome',
    'ServiceChanged',
    'ServicesListed',
    'Severity',
    'State',
    'Tick',
    'ToCaller',
    'ToPeer',
    'ToUpstream',
    'UpstreamDatagram',
    'UpstreamObserved',
    'Wake',
    'WatchAlive',
    'WriteStatus',
    'read_gauge',
]
