"""Client connection to the operator API."""

import ipaddress

import grpc

from acaciamoor.ctl import flags
import acaciamoor.findings as findings
import acaciamoor.settings as settings


def open_channel(given: settings.Settings) -> grpc.aio.Channel:
    """Open a TLS or plain-text channel to the operator API, as configured.

    Raises
    ------
    FindingsError
        If TLS files are missing or unreadable, or if plain text is requested
        for an address that is not loopback.
    """
    target = str(given[flags.API_ADDRESS])
    if given[flags.PLAIN_TEXT]:
        _check_loopback(given)
        return grpc.aio.insecure_channel(target)
    options = []
    if given[flags.SERVER_NAME]:
        name = given[flags.SERVER_NAME]
        options.append(('grpc.ssl_target_name_override', name))
    return grpc.aio.secure_channel(target, _credentials(given), options)


def _check_loopback(given: settings.Settings) -> None:
    address = given[flags.API_ADDRESS]
    if not ipaddress.ip_address(address.ip).is_loopback:
        raise findings.FindingsError.of(
            'bad settings',
            [
                findings.Finding(
                    given.place(flags.PLAIN_TEXT),
                    f'{address} is not a loopback address',
                )
            ],
        )


def _credentials(given: settings.Settings) -> grpc.ChannelCredentials:
    problems: list[findings.Finding] = []
    authority, key, certificate = (
        _read_file(given, flag, problems)
        for flag in (flags.AUTHORITY, flags.KEY, flags.CERTIFICATE)
    )
    if problems:
        raise findings.FindingsError.of('bad settings', problems)
    return grpc.ssl_channel_credentials(authority, key, certificate)


def _read_file(
    given: settings.Settings,
    flag: settings.Flag,
    problems: list[findings.Finding],
) -> bytes:
    path = given[flag]
    if path is None:
        message = f'is required without {flags.PLAIN_TEXT.option}'
        problems.append(findings.Finding(given.place(flag), message))
        return b''
    try:
        return path.read_bytes()
    except OSError as error:
        message = f'{path}: {error.strerror}'
        problems.append(findings.Finding(given.place(flag), message))
        return b''
