"""Certificates of the server, read again when their files change."""

import dataclasses
import logging
import pathlib
import ssl

import grpc

from acaciamoor import findings

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files with the server's key pair and the accepted client authority.

    Parameters
    ----------
    certificate, key : Path
        PEM files of the server.
    client_authority : Path
        PEM file with the certificates that sign client certificates.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    client_authority: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class _Material:
    certificate: bytes
    key: bytes
    client_authority: bytes


class CertificateSource:
    """Gives gRPC the current certificates for each new connection.

    A rotation replaces the files; new connections use the new certificates
    and open ones go on. While the files do not fit together, as in the
    middle of a rotation, the former certificates stay in use.

    Parameters
    ----------
    files : TlsFiles
        Where the certificates are.

    Raises
    ------
    FindingsError
        If the files cannot be used at the start.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._material = _read(files)

    def credentials(self) -> grpc.ServerCredentials:
        """Return server credentials that require a client certificate."""
        return grpc.dynamic_ssl_server_credentials(
            _configuration(self._material),
            self.fetch,
            require_client_authentication=True,
        )

    def fetch(self) -> grpc.ServerCertificateConfiguration | None:
        """Return the configuration if it has changed, or None."""
        try:
            material = _read(self._files)
        except findings.FindingsError as error:
            for finding in error.findings:
                _LOG.error('certificates are not reloaded: %s', finding)
            return None
        if material == self._material:
            return None
        self._material = material
        _LOG.info('certificates were reloaded')
        return _configuration(material)


def _read(files: TlsFiles) -> _Material:
    problems: list[findings.Finding] = []
    contents = [
        _content(path, problems)
        for path in (files.certificate, files.key, files.client_authority)
    ]
    if not problems:
        _check(files, problems)
    if problems:
        raise findings.FindingsError.of('certificates are unusable', problems)
    return _Material(*contents)


def _content(path: pathlib.Path, problems: list[findings.Finding]) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        problems.append(findings.Finding(str(path), str(error.strerror)))
        return b''


def _check(files: TlsFiles, problems: list[findings.Finding]) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        problems.append(
            findings.Finding(
                str(files.certificate), f'does not fit {files.key}: {error}'
            )
        )
    try:
        context.load_verify_locations(files.client_authority)
    except (OSError, ssl.SSLError) as error:
        problems.append(
            findings.Finding(
                str(files.client_authority), f'has no certificate: {error}'
            )
        )


def _configuration(
    material: _Material,
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(material.key, material.certificate)],
        root_certificates=material.client_authority,
    )
