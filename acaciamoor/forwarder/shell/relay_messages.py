"""Passes on the messages of relays by their type."""

import datetime
import functools
import logging
import typing

from acaciamoor import replica as replicas

_LOG = logging.getLogger(__name__)


class Receiver(typing.Protocol):
    """Receiver of messages that a relay sent at `sent_at` or before."""

    def apply_update(
        self,
        update: replicas.Update,
        peer: replicas.Peer,
        sent_at: datetime.timedelta,
    ) -> None:
        """Apply changes of a collection."""

    def apply_heartbeat(
        self,
        beat: replicas.Beat,
        peer: replicas.Peer,
        sent_at: datetime.timedelta,
    ) -> None:
        """Update the ages of the collections."""

    def add_peers(self, peers: replicas.Peers) -> None:
        """Add the hosts that the relay knows."""


@functools.singledispatch
def dispatch(
    message: replicas.Message,
    receiver: Receiver,
    peer: replicas.Peer,
    sent_at: datetime.timedelta,
) -> None:
    """Pass on a message that a relay sent at `sent_at` or before."""
    _LOG.warning(
        'relay %s sent an unexpected %s message',
        peer.host_id,
        type(message).__name__,
    )


@dispatch.register
def _apply_update(
    message: replicas.Update,
    receiver: Receiver,
    peer: replicas.Peer,
    sent_at: datetime.timedelta,
) -> None:
    receiver.apply_update(message, peer, sent_at)


@dispatch.register
def _apply_heartbeat(
    message: replicas.Beat,
    receiver: Receiver,
    peer: replicas.Peer,
    sent_at: datetime.timedelta,
) -> None:
    receiver.apply_heartbeat(message, peer, sent_at)


@dispatch.register
def _add_peers(
    message: replicas.Peers,
    receiver: Receiver,
    peer: replicas.Peer,
    sent_at: datetime.timedelta,
) -> None:
    receiver.add_peers(message)
