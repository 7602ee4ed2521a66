"""TLS 1.3 between halls, both sides verified. Loaded only where the operator's file asks for it."""

from __future__ import annotations

import ssl

import anyio

from cresstray.config.operator import Tls
from cresstray.transport.streams import SocketStream


class Contexts:
    """For links that we make and links that we accept; new ones after a reload serve new connections only."""

    def __init__(self, files: Tls) -> None:
        """OSError where a file can't be used."""
        try:
            self.near = self._make(files, ssl.PROTOCOL_TLS_CLIENT)
            # A certificate names its hall, not a host; it is compared once the connection is up.
            self.near.check_hostname = False
            self.far = self._make(files, ssl.PROTOCOL_TLS_SERVER)
        except OSError as trouble:
            named = f"{files.authority}, {files.certificate}, {files.key}"
            raise OSError(f"keys between halls, one of {named}: {trouble}") from None

    def _make(self, files: Tls, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
        # Danger: whoever may connect could offer work, or answer it. Both sides must be signed by our
        # authority.
        context.verify_mode = ssl.CERT_REQUIRED
        return context


class Sealed:
    """TLS on one line, read and written like the line itself. A broken record ends it with ssl.SSLError."""

    def __init__(self, line: SocketStream, contexts: Contexts, server: bool) -> None:
        self._line, self._in, self._out = line, ssl.MemoryBIO(), ssl.MemoryBIO()
        context = contexts.far if server else contexts.near
        self._tls = context.wrap_bio(self._in, self._out, server_side=server)

    async def shake_hands(self) -> set[str]:
        """The halls that the other side's certificate names; ssl.SSLError where it can't be verified."""
        while True:
            try:
                self._tls.do_handshake()
                break
            except ssl.SSLWantReadError:
                self._flush()
                self._in.write(await self._line.receive())
            except ssl.SSLError:
                self._flush()  # the alert tells the other side why
                raise
        self._flush()
        return {value for kind, value in self._tls.getpeercert().get("subjectAltName", ()) if kind == "DNS"}

    def write(self, message: bytes) -> None:
        self._tls.write(message)
        self._flush()

    async def receive(self) -> bytes:
        while True:
            try:
                data = self._tls.read(65536)
            except ssl.SSLWantReadError:
                self._flush()
                self._in.write(await self._line.receive())
                continue
            if not data:
                raise anyio.EndOfStream
            return data

    def _flush(self) -> None:
        if self._out.pending:
            self._line.write(self._out.read())
