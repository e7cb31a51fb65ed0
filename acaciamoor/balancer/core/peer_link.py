"""Addresses of peers, and signed messages to and from them."""

import collections.abc

from acaciamoor.balancer.core import compact
from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import messages
import acaciamoor.model as model
import acaciamoor.wire as wire

_PEER_LABEL = 'peer'


class PeerLink:
    """Signs and verifies the messages between balancers.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    keyring : Keyring
        Shared keys that sign and verify messages.
    counters : Counters
        Counters of this balancer.
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
        self._listed_hosts: set[model.HostId] = set()
        self._addresses_by_host: dict[model.HostId, effects.SocketAddress] = {}

    def set_addresses(
        self,
        addresses_by_host: collections.abc.Mapping[
            model.HostId, model.Address
        ],
    ) -> None:
        """Add or replace the addresses of peers.

        The address of a host that is no longer listed is kept, because the
        host may still forward packets during its grace period.
        """
        for host_id, address in addresses_by_host.items():
            self._listed_hosts.add(host_id)
            self._addresses_by_host[host_id] = address.as_tuple()

    @property
    def known_hosts(self) -> tuple[model.HostId, ...]:
        """Hosts with a known address, sorted."""
        return tuple(sorted(self._addresses_by_host))

    def forward(
        self, host_id: model.HostId, body: wire.Forward
    ) -> list[effects.Effect]:
        """Return the effect that forwards a datagram to `host_id`."""
        address = self._addresses_by_host.get(host_id)
        if address is None:
            self._counters.add(counts.Metric.DROPS, 'unknown-peer')
            return []
        self._counters.add(counts.Metric.FORWARDS, body.purpose.name.lower())
        return [effects.ToPeer(address, self._sign(body))]

    def send(
        self, host_id: model.HostId, message: object
    ) -> list[effects.Effect]:
        """Return the effect that sends a control message to `host_id`."""
        address = self._addresses_by_host.get(host_id)
        if address is None:
            self._counters.add(counts.Metric.DROPS, 'unknown-peer')
            return []
        name = type(message).__name__
        data = self._sign(wire.Document(name, compact.pack(message)))
        self._counters.add(counts.Metric.CONTROL_BYTES_SENT, name, len(data))
        return [effects.ToPeer(address, data)]

    def receive(
        self, sender: effects.SocketAddress, data: bytes
    ) -> tuple[model.HostId, object] | None:
        """Return the sending host and the verified message in `data`.

        Messages that are malformed or not authentic are counted, and the
        result is None. If the platform has not listed the sender, its source
        address is stored, so that a host that starts during an outage of the
        platform can reply to its peers.
        """
        try:
            message = wire.decode_peer_message(self.keyring.verify(data))
            body = self._decode_body(message, data)
            host_id = model.HostId(message.sender)
            if host_id not in self._listed_hosts:
                self._addresses_by_host[host_id] = sender
            return host_id, body
        except wire.AuthenticationError:
            self._counters.add(counts.Metric.UNAUTHENTICATED, _PEER_LABEL)
        except (wire.MalformedError, compact.CompactError):
            self._counters.add(counts.Metric.MALFORMED, _PEER_LABEL)
        return None

    def _decode_body(self, message: wire.PeerMessage, data: bytes) -> object:
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

    def _sign(self, body: wire.Forward | wire.Document) -> bytes:
        return self.keyring.sign(
            wire.encode_peer_message(wire.PeerMessage(self._host_id, body))
        )
