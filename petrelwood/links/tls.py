"""TLS for fronts and links: a certificate, its key and the trusted authorities, checked and renewed in place.

An SSL context is created once. When the files change, the certificate is loaded into the same context again:
open connections keep the old certificate, new handshakes use the new one. Unusable files raise one error at
the start. Later such an error is logged, and the last valid certificate stays in use.
"""

import datetime
import pathlib
import ssl

from cryptography import x509

from petrelwood.links.errors import IdentityError
from petrelwood.links.interfaces import Logger


class Identity:
    """The certificate of this process in TLS handshakes, and the authorities that it trusts.

    Args:
        cert: Path of the certificate in PEM; empty for none.
        key: Path of its key; empty if the file of the certificate contains the key.
        trusts: Path of the trusted authorities; empty for those of the system.
        mutual: Whether clients must present a certificate signed by one of `trusts`.
        name: The name that the certificates of servers must be valid for; empty for their host.

    Raises:
        IdentityError: The files are unusable.
    """

    def __init__(self, cert: str, key: str, trusts: str = "", mutual: bool = False, name: str = "") -> None:
        self.cert = cert
        self.key = key
        self.trusts = trusts
        self.mutual = mutual
        self.name = name
        self._server_contexts: list[ssl.SSLContext] = []
        self._client_context: ssl.SSLContext | None = None
        self._loaded: dict[str, int] = {}  # modification time (ns) of each loaded file
        self.check(datetime.datetime.now(datetime.UTC))

    @property
    def paths(self) -> tuple[str, str, str, bool, str]:
        """The arguments of this identity; two versions of the settings are compared by them."""
        return self.cert, self.key, self.trusts, self.mutual, self.name

    def check(self, now: datetime.datetime) -> datetime.timedelta | None:
        """Return the remaining validity of the certificate, or None if there is no certificate.

        Raises:
            IdentityError: The files are unusable at `now`.
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
        except OSError as error:  # includes ssl.SSLError
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
        """Return the context for client connections, always the same one. Raises IdentityError."""
        if self._client_context is None:
            context = ssl.create_default_context(cafile=self.trusts or None)
            context.minimum_version = ssl.TLSVersion.TLSv1_2
            self._load(context)
            self._client_context = context
        return self._client_context

    def server_name(self, host: str) -> str:
        """Return the name that the certificate of a server at `host` must be valid for."""
        return self.name or host

    def renew(self, log: Logger) -> bool:
        """Load changed files into the contexts in use; return whether files were loaded."""
        try:
            if self._modification_times() == self._loaded:
                return False
            self.check(datetime.datetime.now(datetime.UTC))
            for context in self._contexts():
                self._load(context)
        except (IdentityError, OSError) as error:
            log.warning("certificate not renewed; the last valid one stays in use", reason=str(error))
            self._loaded = {}  # so that the next call tries again
            return False
        log.info("certificate renewed", cert=self.cert)
        return True

    def _contexts(self) -> list[ssl.SSLContext]:
        if self._client_context is None:
            return self._server_contexts
        return [*self._server_contexts, self._client_context]
