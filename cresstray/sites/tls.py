"""Mutual TLS 1.3 between gateways. Loaded only where the operator's file configures certificates."""

from __future__ import annotations

import ssl

import anyio

from cresstray.config.operator import Tls
from cresstray.transport.streams import SocketStream


class TlsContexts:
    """The client and server contexts of one set of certificate files.

    After a reload, new contexts apply to new connections only.
    """

    def __init__(self, files: Tls) -> None:
        """Loads the files.

        Raises:
            OSError: a file cannot be used.
        """
        try:
            self.client = self._make(files, ssl.PROTOCOL_TLS_CLIENT)
            # A certificate names a site instead of a host; the caller checks it after the handshake.
            self.client.check_hostname = False
            self.server = self._make(files, ssl.PROTOCOL_TLS_SERVER)
        except OSError as error:
            paths = f"{files.authority}, {files.certificate}, {files.key}"
            raise OSError(f"keys between halls, one of {paths}: {error}") from None

    def _make(self, files: Tls, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
        # Any peer that can connect could submit requests or answer them, so both sides must present a
        # certificate that the operator's authority has signed.
        context.verify_mode = ssl.CERT_REQUIRED
        return context


class TlsStream:
    """TLS over a socket stream, with the same interface; an invalid record raises ssl.SSLError."""

    def __init__(self, stream: SocketStream, contexts: TlsContexts, is_server: bool) -> None:
        self._stream, self._incoming, self._outgoing = stream, ssl.MemoryBIO(), ssl.MemoryBIO()
        context = contexts.server if is_server else contexts.client
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=is_server)

    async def handshake(self) -> set[str]:
        """Performs the handshake and returns the DNS names of the peer's certificate.

        Raises:
            ssl.SSLError: the certificate cannot be verified.
        """
        while True:
            try:
                self._tls.do_handshake()
                break
            except ssl.SSLWantReadError:
                self._flush()
                self._incoming.write(await self._stream.receive())
            except ssl.SSLError:
                self._flush()  # sends the alert, which tells the peer the reason
                raise
        self._flush()
        return {value for kind, value in self._tls.getpeercert().get("subjectAltName", ()) if kind == "DNS"}

    def write(self, message: bytes) -> None:
        """Encrypts and writes a message."""
        self._tls.write(message)
        self._flush()

    async def receive(self) -> bytes:
        """Returns the next decrypted bytes.

        Raises:
            anyio.EndOfStream: the peer has closed the TLS connection.
        """
        while True:
            try:
                data = self._tls.read(65536)
            except ssl.SSLWantReadError:
                self._flush()
                self._incoming.write(await self._stream.receive())
                continue
            if not data:
                raise anyio.EndOfStream
            return data

    def _flush(self) -> None:
        if self._outgoing.pending:
            self._stream.write(self._outgoing.read())
