"""Passes events to the core and carries out its effects."""

import asyncio
import collections.abc
import logging

import reactivex
from reactivex import subject

from acaciamoor import sockets
from acaciamoor.balancer import core as cores

_LOG = logging.getLogger(__name__)
CALLER_DATAGRAM_BYTES = 2048
PEER_DATAGRAM_BYTES = 65535
_WAKE = cores.Wake()


class Driver:
    """Owns the core and the three sockets.

    Datagrams go directly from and to the sockets. The tasks of the process
    publish other events to the subject `events`, and subscribe to the subject
    `effects` for all effects but datagrams.

    Parameters
    ----------
    core : BalancerCore
        Handles the events.
    caller_socket, upstream_socket, peer_socket : DatagramSocket
        Sockets for datagrams of callers, upstreams and peers.
    """

    def __init__(
        self,
        core: cores.BalancerCore,
        caller_socket: sockets.DatagramSocket,
        upstream_socket: sockets.DatagramSocket,
        peer_socket: sockets.DatagramSocket,
    ) -> None:
        self.core = core
        self.events: subject.Subject[cores.Event] = subject.Subject()
        self._effects: subject.Subject[cores.Effect] = subject.Subject()
        self.unsent_datagrams = 0
        self.failed_events = 0
        self._caller_socket = caller_socket
        self._upstream_socket = upstream_socket
        self._peer_socket = peer_socket
        self._senders_by_type = {
            cores.ToCaller: caller_socket.send,
            cores.ToUpstream: upstream_socket.send,
            cores.ToPeer: peer_socket.send,
        }
        self.events.subscribe(self._handle_event)

    @property
    def effects(self) -> reactivex.Observable[cores.Effect]:
        """All effects but datagrams."""
        return self._effects

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to read the sockets."""
        self._caller_socket.start(loop, self.read_callers)
        self._upstream_socket.start(loop, self._read_upstreams)
        self._peer_socket.start(loop, self._read_peers)

    def read_callers(self) -> None:
        """Read one batch from the fabric and carry out its effects."""
        self._handle_event(_WAKE)
        batch, empty = self._caller_socket.read_batch()
        self._handle_event(cores.CallerDatagrams(batch))
        if empty:
            self._handle_event(cores.ChannelEmpty(cores.Channel.CALLER))

    def _read_upstreams(self) -> None:
        self._handle_event(_WAKE)
        batch, empty = self._upstream_socket.read_batch_from()
        for data, sender in batch:
            self._handle_event(cores.UpstreamDatagram(sender, data))
        if empty:
            self._handle_event(cores.ChannelEmpty(cores.Channel.UPSTREAM))

    def _read_peers(self) -> None:
        self._handle_event(_WAKE)
        batch, empty = self._peer_socket.read_batch_from()
        for data, sender in batch:
            self._handle_event(cores.PeerDatagram(sender, data))
        if empty:
            self._handle_event(cores.ChannelEmpty(cores.Channel.PEER))

    def carry_out(
        self, produced: collections.abc.Iterable[cores.Effect]
    ) -> None:
        """Send datagrams and publish all other effects."""
        senders_by_type = self._senders_by_type
        for effect in produced:
            send = senders_by_type.get(type(effect))
            if send is None:
                self._effects.on_next(effect)
                continue
            address, data = effect
            try:
                send(data, address)
            except OSError:
                # If the buffer is full or the host is unreachable, the
                # datagram is lost, as it may be in the network.
                self.unsent_datagrams += 1

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close the sockets."""
        self._caller_socket.close(loop)
        self._upstream_socket.close(loop)
        self._peer_socket.close(loop)
        self.events.on_completed()
        self._effects.on_completed()

    def _handle_event(self, event: cores.Event) -> None:
        try:
            self.carry_out(self.core.handle(event))
        except Exception:
            # The task or socket that the event came from must go on.
            self.failed_events += 1
            _LOG.exception('%s not handled', type(event).__name__)
