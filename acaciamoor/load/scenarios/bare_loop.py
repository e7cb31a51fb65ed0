"""Bare blocking recvfrom/sendto loop, and a sink that counts datagrams.

Both run as processes of their own for the throughput scenario.
"""

import signal
import socket
import sys

from acaciamoor import model
from acaciamoor import settings

_BYTES = 2048
_BUFFER_BYTES = 4 << 20
LISTEN = settings.RequiredFlag(
    'listen', settings.address, 'Address for datagrams.', 'ip:port'
)
TARGET = settings.Flag(
    'target',
    settings.optional(settings.address),
    None,
    'Where datagrams are sent; without it they are counted and dropped.',
    'ip:port',
)


def _socket(address: model.Address) -> socket.socket:
    item = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    item.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    item.bind(address.as_tuple())
    return item


def forward(source: socket.socket, target: tuple[str, int]) -> None:
    """Send everything that arrives at `source` to `target`."""
    receive, send = source.recvfrom, source.sendto
    while True:
        data, _ = receive(_BYTES)
        send(data, target)


class Sink:
    """Counts datagrams, and prints the count on SIGUSR1."""

    def __init__(self) -> None:
        self.received = 0

    def report(self, *_: object) -> None:
        """Print the count."""
        print(self.received, flush=True)

    def run(self, source: socket.socket) -> None:
        """Count what arrives at `source` until the process is ended."""
        receive = source.recv
        while True:
            receive(_BYTES)
            self.received += 1


def main() -> None:
    """Run the loop or the sink until the process is ended."""
    given = settings.SettingsParser(
        'bare-loop', 'Forwards or counts datagrams.', (LISTEN, TARGET)
    ).parse()
    sink = Sink()
    signal.signal(signal.SIGUSR1, sink.report)
    with _socket(given[LISTEN]) as source:
        print('ready', flush=True)
        target = given[TARGET]
        if target is None:
            sink.run(source)
        else:
            forward(source, target.as_tuple())


if __name__ == '__main__':
    sys.exit(settings.run_program(main))
