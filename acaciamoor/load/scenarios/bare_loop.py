"""Programs of the throughput scenario: a forwarding loop and a sink.

The loop only calls blocking `recvfrom` and `sendto`. It is the baseline for
the throughput of a balancer. The sink counts and drops datagrams. Each runs in
a process of its own.
"""

import signal
import socket
import sys

from acaciamoor import model
from acaciamoor import settings

_MAX_DATAGRAM_BYTES = 2048
_RECEIVE_BUFFER_BYTES = 4 << 20
LISTEN = settings.RequiredFlag(
    'listen', settings.address, 'Address that receives datagrams.', 'ip:port'
)
TARGET = settings.Flag(
    'target',
    settings.optional(settings.address),
    None,
    'Destination of datagrams; without it, they are counted and dropped.',
    'ip:port',
)


def _open_socket(address: model.Address) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    udp_socket.bind(address.as_tuple())
    return udp_socket


def forward(source: socket.socket, target: tuple[str, int]) -> None:
    """Forward the datagrams that `source` receives to `target`, forever."""
    receive, send = source.recvfrom, source.sendto
    while True:
        data, _ = receive(_MAX_DATAGRAM_BYTES)
        send(data, target)


class Sink:
    """Counts datagrams, and prints the count when SIGUSR1 is received."""

    def __init__(self) -> None:
        self.received = 0

    def report(self, *_: object) -> None:
        """Print the number of received datagrams, as a signal handler."""
        print(self.received, flush=True)

    def run(self, source: socket.socket) -> None:
        """Count the datagrams that `source` receives, forever."""
        receive = source.recv
        while True:
            receive(_MAX_DATAGRAM_BYTES)
            self.received += 1


def main() -> None:
    """Run the loop or the sink until the process is terminated."""
    values = settings.SettingsParser(
        'bare-loop', 'Forwards datagrams, or counts them.', (LISTEN, TARGET)
    ).parse()
    sink = Sink()
    signal.signal(signal.SIGUSR1, sink.report)
    with _open_socket(values[LISTEN]) as source:
        print('ready', flush=True)
        target = values[TARGET]
        if target is None:
            sink.run(source)
        else:
            forward(source, target.as_tuple())


if __name__ == '__main__':
    sys.exit(settings.run_program(main))
