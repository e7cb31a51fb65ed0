"""Rendezvous hashing, by which hosts agree on choices without messages."""

from acaciamoor.hashing.rendezvous import choose_weighted
from acaciamoor.hashing.rendezvous import hash64
from acaciamoor.hashing.rendezvous import ranked
from acaciamoor.hashing.rendezvous import score

__all__ = ['choose_weighted', 'hash64', 'ranked', 'score']
