"""Entry point of ``acaciamoor-operator``, the server of the operator API."""

import asyncio
import ipaddress
import pathlib
import signal
import sys

import grpc

from acaciamoor import clock as clocks
from acaciamoor import findings
from acaciamoor import model
from acaciamoor.operator import editor as editors
from acaciamoor.operator import evacuations
from acaciamoor.operator import operator_pb2_grpc
from acaciamoor.operator import server as servers
from acaciamoor.operator import tls
import acaciamoor.platform as platform
import acaciamoor.settings as settings
import acaciamoor.telemetry as telemetry

PROGRAM = 'acaciamoor-operator'
# Time that calls in progress have to complete during shutdown.
SHUTDOWN_GRACE_S = 10.0
ADDRESS = settings.Flag(
    'address',
    settings.address,
    model.Address('127.0.0.1', 7443),
    'Address that the API listens on.',
    'ip:port',
)
PLATFORM_URL = settings.RequiredFlag(
    'platform-url', settings.text, 'URL of the platform.'
)
CERTIFICATE = settings.Flag(
    'tls-certificate',
    settings.optional(settings.path),
    None,
    'PEM file with the server certificate.',
)
KEY = settings.Flag(
    'tls-key',
    settings.optional(settings.path),
    None,
    'PEM file with the private key of the server.',
)
CLIENT_AUTHORITY = settings.Flag(
    'tls-client-authority',
    settings.optional(settings.path),
    None,
    'PEM file with the certificate authorities trusted to sign client '
    'certificates.',
)
PLAIN_TEXT = settings.Flag(
    'plain-text',
    settings.boolean,
    False,
    'Serve without TLS; allowed only on a loopback address.',
)
_TLS_FLAGS = (CERTIFICATE, KEY, CLIENT_AUTHORITY)
FLAGS = (
    ADDRESS,
    PLATFORM_URL,
    *_TLS_FLAGS,
    PLAIN_TEXT,
    *telemetry.FLAGS,
)


def parse(
    arguments: list[str] | None = None,
    environment: dict[str, str] | None = None,
) -> settings.Settings:
    """Parse the settings and check that the transport is secure.

    Plain text is accepted only on a loopback address; otherwise all TLS files
    are required.

    Raises
    ------
    FindingsError
        If settings are missing or invalid; lists every problem.
    """
    parser = settings.SettingsParser(
        PROGRAM, 'Serves the operator API.', FLAGS
    )
    given = parser.parse(arguments, environment)
    problems = []
    if given[PLAIN_TEXT]:
        if not ipaddress.ip_address(given[ADDRESS].ip).is_loopback:
            problems.append(
                findings.Finding(
                    given.place(PLAIN_TEXT),
                    f'{given[ADDRESS]} is not a loopback address',
                )
            )
    else:
        problems.extend(
            findings.Finding(
                given.place(flag), f'is required without {PLAIN_TEXT.option}'
            )
            for flag in _TLS_FLAGS
            if given[flag] is None
        )
    if problems:
        raise findings.FindingsError.of('bad settings', problems)
    return given


def add_port(
    server: grpc.aio.Server, given: settings.Settings, port: int | None = None
) -> int:
    """Add a TLS or plain-text listening port to `server`, as configured.

    Parameters
    ----------
    server : Server
        Server that is not started yet.
    given : Settings
        Settings of the program.
    port : int or None
        Replaces the port of the configured address; 0 selects a free port.

    Returns
    -------
    int
        The port that the server listens on.
    """
    address = str(given[ADDRESS])
    if port is not None:
        address = f'{address.rpartition(":")[0]}:{port}'
    if given[PLAIN_TEXT]:
        return server.add_insecure_port(address)
    certificate, key, authority = (
        pathlib.Path(str(given[flag])) for flag in _TLS_FLAGS
    )
    source = tls.CertificateSource(tls.TlsFiles(certificate, key, authority))
    return server.add_secure_port(address, source.credentials())


async def serve(given: settings.Settings) -> None:
    """Serve until the process receives SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    fields = telemetry.ProcessIdentity(
        PROGRAM, given[telemetry.DATA_CENTRE], given[telemetry.HOST]
    )
    with telemetry.MetricsEndpoint(
        fields, given[telemetry.METRICS_ADDRESS]
    ) as endpoint:
        counter = endpoint.meter(__name__).create_counter(
            'acaciamoor_operator_changes', description='Changes by outcome.'
        )
        async with platform.HttpTransport(given[PLATFORM_URL]) as transport:
            store = platform.PlatformStore(transport)
            server = new_server(
                store,
                lambda change, outcome: counter.add(
                    1, {'change': change, 'outcome': outcome}
                ),
            )
            add_port(server, given)
            await server.start()
            await stopped.wait()
            await server.stop(SHUTDOWN_GRACE_S)


def new_server(
    store: platform.ObjectStore,
    count_outcome: servers.CountOutcome = lambda change, outcome: None,
) -> grpc.aio.Server:
    """Return a server of the operator API without a listening port."""
    clock = clocks.SystemClock()
    server = grpc.aio.server()
    operator_pb2_grpc.add_OperatorServicer_to_server(
        servers.OperatorServicer(
            editors.ServiceEditor(store, clock),
            evacuations.EvacuationEditor(store, clock),
            store,
            count_outcome,
        ),
        server,
    )
    return server


def main() -> int:
    """Run the program and return the exit code of the process."""
    return settings.run_program(_run)


def _run() -> None:
    given = parse()
    telemetry.configure_logging(
        given,
        telemetry.ProcessIdentity(
            PROGRAM, given[telemetry.DATA_CENTRE], given[telemetry.HOST]
        ),
    )
    asyncio.run(serve(given))


if __name__ == '__main__':
    sys.exit(main())
