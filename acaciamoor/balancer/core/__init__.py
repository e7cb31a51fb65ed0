"""Decision core of one balancer, which turns events into effects."""

from acaciamoor.balancer.core.core import BalancerCore
from acaciamoor.balancer.core.counters import Counters
from acaciamoor.balancer.core.counters import Metric
from acaciamoor.balancer.core.effects import Effect
from acaciamoor.balancer.core.effects import Exit
from acaciamoor.balancer.core.effects import PollUpstreams
from acaciamoor.balancer.core.effects import RequestEnded
from acaciamoor.balancer.core.effects import RequestOutcome
from acaciamoor.balancer.core.effects import RequestRefused
from acaciamoor.balancer.core.effects import RequestStarted
from acaciamoor.balancer.core.effects import SetWatch
from acaciamoor.balancer.core.effects import Severity
from acaciamoor.balancer.core.effects import ToCaller
from acaciamoor.balancer.core.effects import ToPeer
from acaciamoor.balancer.core.effects import ToUpstream
from acaciamoor.balancer.core.effects import WriteLog
from acaciamoor.balancer.core.effects import WriteStatus
from acaciamoor.balancer.core.events import CallerDatagrams
from acaciamoor.balancer.core.events import Channel
from acaciamoor.balancer.core.events import ChannelEmpty
from acaciamoor.balancer.core.events import EvacuationRead
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
from acaciamoor.balancer.core.events import UpstreamPolled
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
    'EvacuationRead',
    'Event',
    'Exit',
    'Gauge',
    'Host',
    'HostsListed',
    'KeysChanged',
    'LeaveRequested',
    'Metric',
    'PeerDatagram',
    'PollUpstreams',
    'RequestEnded',
    'RequestOutcome',
    'RequestRefused',
    'RequestStarted',
    'ServiceChanged',
    'ServicesListed',
    'SetWatch',
    'Severity',
    'State',
    'Tick',
    'ToCaller',
    'ToPeer',
    'ToUpstream',
    'UpstreamDatagram',
    'UpstreamPolled',
    'Wake',
    'WatchAlive',
    'WriteLog',
    'WriteStatus',
    'read_gauge',
]
