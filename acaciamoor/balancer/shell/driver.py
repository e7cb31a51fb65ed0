"""Feeds the core with events and carries out its effects."""

import asyncio
import collections.abc

import reactivex
from reactivex import subject

from acaciamoor import sockets
from acaciamoor.balancer import core as cores

CALLER_DATAGRAM_BYTES = 2048
PEER_DATAGRAM_BYTES = 65535
_WAKE = cores.Wake()


class Driver:
    """Owns the core and the three sockets.

    Datagrams go straight through; everything else arrives on the subject
    `events` and leaves on the subject `effects`, to which the tasks of the
    process subscribe.

    Parameters
    ----------
    core : BalancerCore
        Decides.
    caller_socket, upstream_socket, peer_socket : DatagramSocket
        Sockets by what is at their other end.
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
        self.unsent = 0
        self._caller_socket = caller_socket
        self._upstream_socket = upstream_socket
        self._peer_socket = peer_socket
        self._senders_by_type = {
            cores.ToCaller: caller_socket.send,
            cores.ToUpstream: upstream_socket.send,
            cores.ToPeer: peer_socket.send,
        }
        self.events.subscribe(self._post)

    @property
    def effects(self) -> reactivex.Observable[cores.Effect]:
        """Effects other than datagrams."""
        return self._effects

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read the sockets from now on."""
        self._caller_socket.start(loop, self.read_callers)
        self._upstream_socket.start(loop, self._read_upstreams)
        self._peer_socket.start(loop, self._read_peers)

    def read_callers(self) -> None:
        """Read one batch from the fabric and carry out what follows."""
        self._post(_WAKE)
        batch, empty = self._caller_socket.read_batch()
        self.carry_out(self.core.handle(cores.CallerDatagrams(batch)))
        if empty:
            self._post(cores.ChannelEmpty(cores.Channel.CALLER))

    def _read_upstreams(self) -> None:
        self._post(_WAKE)
        batch, empty = self._upstream_socket.read_batch_from()
        for data, sender in batch:
            self._post(cores.UpstreamDatagram(sender, data))
        if empty:
            self._post(cores.ChannelEmpty(cores.Channel.UPSTREAM))

    def _read_peers(self) -> None:
        self._post(_WAKE)
        batch, empty = self._peer_socket.read_batch_from()
        for data, sender in batch:
            self._post(cores.PeerDatagram(sender, data))
        if empty:
            self._post(cores.ChannelEmpty(cores.Channel.PEER))

    def carry_out(
        self, decided: collections.abc.Iterable[cores.Effect]
    ) -> None:
        """Send datagrams and publish all other effects."""
        senders_by_type = self._senders_by_type
        for effect in decided:
            send = senders_by_type.get(type(effect))
            if send is None:
                self._effects.on_next(effect)
                continue
            address, data = effect
            try:
                send(data, address)
            except OSError:
                # A full buffer or an unreachable host loses the datagram,
                # as the network may.
                self.unsent += 1

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close the sockets."""
        self._caller_socket.close(loop)
        self._upstream_socket.close(loop)
        self._peer_socket.close(loop)
        self.events.on_completed()
        self._effects.on_completed()

    def _post(self, event: cores.Event) -> None:
        self.carry_out(self.core.handle(event))
