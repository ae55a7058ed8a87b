"""TLS for fronts and links: a certificate, its key and whom to trust, checked at the start, renewed in place.

A context is made once, and the certificate is loaded into it again when the files change: connections that
are open keep theirs, new handshakes get the new one. What is wrong with the files is one clear error at the
start; later it is logged, and the last good certificate stays in use.
"""

import datetime
import pathlib
import ssl

from cryptography import x509

from petrelwood.links.errors import IdentityError
from petrelwood.links.interfaces import Logger


class Identity:
    """Who this process is in a handshake, and whom it trusts.

    Args:
        cert: Path of the certificate in PEM; empty for none.
        key: Path of its key; empty where the certificate's file has it.
        trusts: Path of the trusted authorities; empty for those of the system.
        mutual: Whether a client must show a certificate that `trusts` has signed.
        name: The name that servers are checked for; empty for their host.

    Raises:
        IdentityError: The files can't be used.
    """

    def __init__(self, cert: str, key: str, trusts: str = "", mutual: bool = False, name: str = "") -> None:
        self.cert = cert
        self.key = key
        self.trusts = trusts
        self.mutual = mutual
        self.name = name
        self._server_contexts: list[ssl.SSLContext] = []
        self._client_context: ssl.SSLContext | None = None
        self._loaded: dict[str, int] = {}  # when each file was last changed (ns) as it was loaded
        self.check(datetime.datetime.now(datetime.UTC))

    @property
    def paths(self) -> tuple[str, str, str, bool, str]:
        """What this was made of; the comparison of two settings goes by it."""
        return self.cert, self.key, self.trusts, self.mutual, self.name

    def check(self, now: datetime.datetime) -> datetime.timedelta | None:
        """Return how long the certificate is still valid, or None if there is none.

        Raises:
            IdentityError: The files can't be used at `now`.
        """
        if self.mutual and not self.trusts:
            raise IdentityError("mutual TLS needs to know whom to trust")
        if not self.cert:
            return None
        found = self._read_certificate()
        if now >= found.not_valid_after_utc:
            raise IdentityError(f"{self.cert} ran out on {found.not_valid_after_utc:%Y-%m-%d %H:%M} UTC")
        if now < found.not_valid_before_utc:
            raise IdentityError(
                f"{self.cert} holds only from {found.not_valid_before_utc:%Y-%m-%d %H:%M} UTC on"
            )
        self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
        return found.not_valid_after_utc - now

    def _read_certificate(self) -> x509.Certificate:
        try:
            return x509.load_pem_x509_certificate(pathlib.Path(self.cert).read_bytes())
        except OSError as error:
            raise IdentityError(f"{self.cert} can't be read: {error.strerror}") from error
        except ValueError as error:
            raise IdentityError(f"{self.cert} is no certificate in PEM") from error

    def _load(self, context: ssl.SSLContext) -> None:
        try:
            if self.cert:
                context.load_cert_chain(self.cert, self.key or None)
            if self.trusts:
                context.load_verify_locations(self.trusts)
        except OSError as error:  # ssl.SSLError is one of its kinds
            reason = getattr(error, "reason", None) or error.strerror or str(error)
            raise IdentityError(
                f"{self.cert} and {self.key or 'its key'} do not go together, or {self.trusts or 'trust'} "
                f"can't be read: {reason}"
            ) from error
        self._loaded = self._modification_times()

    def _modification_times(self) -> dict[str, int]:
        paths = (self.cert, self.key, self.trusts)
        return {path: pathlib.Path(path).stat().st_mtime_ns for path in paths if path}

    def server(self) -> ssl.SSLContext:
        """Return a new context for a listener. Raises IdentityError."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load(context)
        if self.mutual:
            context.verify_mode = ssl.CERT_REQUIRED
        self._server_contexts.append(context)
        return context

    def client(self) -> ssl.SSLContext:
        """Return the context for connections, the same one each time. Raises IdentityError."""
        if self._client_context is None:
            context = ssl.create_default_context(cafile=self.trusts or None)
            context.minimum_version = ssl.TLSVersion.TLSv1_2
            self._load(context)
            self._client_context = context
        return self._client_context

    def server_name(self, host: str) -> str:
        """Return the name that the certificate of a server at `host` has to be for."""
        return self.name or host

    def renew(self, log: Logger) -> bool:
        """Load changed files into the contexts in use; return whether that was done."""
        try:
            if self._modification_times() == self._loaded:
                return False
            self.check(datetime.datetime.now(datetime.UTC))
            for context in self._contexts():
                self._load(context)
        except (IdentityError, OSError) as error:
            log.warning("certificate not renewed; the last good one stays", reason=str(error))
            self._loaded = {}  # tried again at the next look
            return False
        log.info("certificate renewed", cert=self.cert)
        return True

    def _contexts(self) -> list[ssl.SSLContext]:
        if self._client_context is None:
            return self._server_contexts
        return [*self._server_contexts, self._client_context]
