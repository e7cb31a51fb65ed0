"""Feeds the core with events and carries out its effects."""

import asyncio
import functools

import reactivex
from reactivex import subject

from acaciamoor.balancer import core as cores
from acaciamoor.balancer.shell import datagrams

CALLER_DATAGRAM_BYTES = 2048
PEER_DATAGRAM_BYTES = 65535


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
        caller_socket: datagrams.DatagramSocket,
        upstream_socket: datagrams.DatagramSocket,
        peer_socket: datagrams.DatagramSocket,
    ) -> None:
        self.core = core
        self.events: subject.Subject[cores.Event] = subject.Subject()
        self._effects: subject.Subject[cores.Effect] = subject.Subject()
        self._sockets_by_channel = {
            cores.Channel.CALLER: caller_socket,
            cores.Channel.UPSTREAM: upstream_socket,
            cores.Channel.PEER: peer_socket,
        }
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
        core = self.core
        carry_out = self.carry_out

        def on_caller(_: tuple[str, int], data: bytes) -> None:
            carry_out(core.handle(cores.CallerDatagram(data)))

        def on_upstream(sender: tuple[str, int], data: bytes) -> None:
            carry_out(core.handle(cores.UpstreamDatagram(sender, data)))

        def on_peer(_: tuple[str, int], data: bytes) -> None:
            carry_out(core.handle(cores.PeerDatagram(data)))

        handlers_by_channel = {
            cores.Channel.CALLER: on_caller,
            cores.Channel.UPSTREAM: on_upstream,
            cores.Channel.PEER: on_peer,
        }
        for channel, handler in handlers_by_channel.items():
            self._sockets_by_channel[channel].start(
                loop,
                functools.partial(self._post, cores.Wake()),
                handler,
                functools.partial(self._post, cores.ChannelEmpty(channel)),
            )

    def carry_out(self, decided: list[cores.Effect]) -> None:
        """Send datagrams and publish all other effects."""
        for effect in decided:
            send = self._senders_by_type.get(type(effect))
            if send is None:
                self._effects.on_next(effect)
            else:
                send(effect.data, effect.address)

    def unsent_by_channel(self) -> dict[str, int]:
        """Return the datagrams that the system did not take."""
        return {
            channel.value: item.unsent
            for channel, item in self._sockets_by_channel.items()
        }

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close the sockets."""
        for item in self._sockets_by_channel.values():
            item.close(loop)
        self.events.on_completed()
        self._effects.on_completed()

    def _post(self, event: cores.Event) -> None:
        self.carry_out(self.core.handle(event))
