"""Addresses of peers, and sealed messages to and from them."""

import collections.abc

from acaciamoor.balancer.core import compact
from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import messages
import acaciamoor.model as model
import acaciamoor.wire as wire

_SOURCE = 'peer'


class PeerLink:
    """Encodes and authenticates the messages between balancers.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    keyring : Keyring
        Shared keys.
    counters : Counters
        Counts control bytes and rejected messages.
    """

    def __init__(
        self,
        host_id: model.HostId,
        keyring: wire.Keyring,
        counters: counts.Counters,
    ) -> None:
        self.keyring = keyring
        self._host_id = host_id
        self._counters = counters
        self._listed: set[model.HostId] = set()
        self._addresses_by_host: dict[model.HostId, effects.SocketAddress] = {}

    def set_addresses(
        self,
        addresses_by_host: collections.abc.Mapping[
            model.HostId, model.Address
        ],
    ) -> None:
        """Add or replace the addresses of peers.

        A host that left the list keeps its address, because it may still
        forward packets during its grace period.
        """
        for host_id, address in addresses_by_host.items():
            self._listed.add(host_id)
            self._addresses_by_host[host_id] = address.as_tuple()

    @property
    def known_hosts(self) -> tuple[model.HostId, ...]:
        """Hosts with a known address, sorted."""
        return tuple(sorted(self._addresses_by_host))

    def forward(
        self, host_id: model.HostId, body: wire.Forward
    ) -> list[effects.Effect]:
        """Return the effect that passes a datagram to `host_id`."""
        address = self._addresses_by_host.get(host_id)
        if address is None:
            self._counters.add(counts.Metric.DROPS, 'unknown-peer')
            return []
        self._counters.add(counts.Metric.FORWARDS, body.purpose.name.lower())
        return [effects.ToPeer(address, self._seal(body))]

    def send(
        self, host_id: model.HostId, message: object
    ) -> list[effects.Effect]:
        """Return the effect that sends a control message to `host_id`."""
        address = self._addresses_by_host.get(host_id)
        if address is None:
            self._counters.add(counts.Metric.DROPS, 'unknown-peer')
            return []
        name = type(message).__name__
        data = self._seal(wire.Document(name, compact.pack(message)))
        self._counters.add(counts.Metric.CONTROL_BYTES_SENT, name, len(data))
        return [effects.ToPeer(address, data)]

    def open(
        self, sender: effects.SocketAddress, data: bytes
    ) -> tuple[model.HostId, object] | None:
        """Return the host that sent `data`, and the message in it.

        None if the message is malformed or not authentic, which is counted.
        The address of a host that the platform has not listed is learned, so
        that a host that starts during an outage can answer its peers.
        """
        try:
            message = wire.decode_peer_message(self.keyring.verify(data))
            body = self._body(message, data)
            host_id = model.HostId(message.sender)
            if host_id not in self._listed:
                self._addresses_by_host[host_id] = sender
            return host_id, body
        except wire.AuthenticationError:
            self._counters.add(counts.Metric.UNAUTHENTICATED, _SOURCE)
        except (wire.MalformedError, compact.CompactError):
            self._counters.add(counts.Metric.MALFORMED, _SOURCE)
        return None

    def _body(self, message: wire.PeerMessage, data: bytes) -> object:
        if isinstance(message.body, wire.Forward):
            return message.body
        cls = messages.TYPES_BY_NAME.get(message.body.name)
        if cls is None:
            raise compact.CompactError(
                f'{message.body.name!r} is not a message type'
            )
        self._counters.add(
            counts.Metric.CONTROL_BYTES_RECEIVED,
            message.body.name,
            len(data),
        )
        return compact.unpack(cls, message.body.content)

    def _seal(self, body: wire.Forward | wire.Document) -> bytes:
        return self.keyring.sign(
            wire.encode_peer_message(wire.PeerMessage(self._host_id, body))
        )
