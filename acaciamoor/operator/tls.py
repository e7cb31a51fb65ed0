"""TLS certificates of the server, reloaded when their files change."""

import dataclasses
import logging
import pathlib
import ssl

import grpc

from acaciamoor import findings

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the server's key pair and of the trusted client authorities.

    Parameters
    ----------
    certificate, key : Path
        PEM files with the certificate and the private key of the server.
    client_authority : Path
        PEM file with the certificate authorities that sign client
        certificates.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    client_authority: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class _PemContents:
    certificate: bytes
    key: bytes
    client_authority: bytes


class CertificateSource:
    """Provides gRPC with the current certificates for each new connection.

    After a rotation of the files, new connections use the new certificates
    and existing connections are unaffected. While the files are unreadable or
    inconsistent, as in the middle of a rotation, the previous certificates
    stay in use.

    Parameters
    ----------
    files : TlsFiles
        Paths of the certificates.

    Raises
    ------
    FindingsError
        If the files are unreadable or inconsistent on construction.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._contents = _read_files(files)

    def credentials(self) -> grpc.ServerCredentials:
        """Return server credentials that require a client certificate."""
        return grpc.dynamic_ssl_server_credentials(
            _configuration(self._contents),
            self.fetch,
            require_client_authentication=True,
        )

    def fetch(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the certificates if they have changed, else None.

        gRPC calls this for each new connection.
        """
        try:
            contents = _read_files(self._files)
        except findings.FindingsError as error:
            for finding in error.findings:
                _LOG.error(
                    'cannot reload TLS certificates; the previous ones stay '
                    'in use: %s',
                    finding,
                )
            return None
        if contents == self._contents:
            return None
        self._contents = contents
        _LOG.info('reloaded TLS certificates')
        return _configuration(contents)


def _read_files(files: TlsFiles) -> _PemContents:
    problems: list[findings.Finding] = []
    contents = [
        _read_file(path, problems)
        for path in (files.certificate, files.key, files.client_authority)
    ]
    if not problems:
        _check_files(files, problems)
    if problems:
        raise findings.FindingsError.of('invalid TLS certificates', problems)
    return _PemContents(*contents)


def _read_file(path: pathlib.Path, problems: list[findings.Finding]) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        problems.append(findings.Finding(str(path), str(error.strerror)))
        return b''


def _check_files(files: TlsFiles, problems: list[findings.Finding]) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        problems.append(
            findings.Finding(
                str(files.certificate),
                f'does not match private key {files.key}: {error}',
            )
        )
    try:
        context.load_verify_locations(files.client_authority)
    except (OSError, ssl.SSLError) as error:
        problems.append(
            findings.Finding(
                str(files.client_authority),
                f'contains no valid certificate: {error}',
            )
        )


def _configuration(
    contents: _PemContents,
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(contents.key, contents.certificate)],
        root_certificates=contents.client_authority,
    )
