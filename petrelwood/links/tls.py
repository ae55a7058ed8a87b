"""TLS for fronts and links: one identity (certificate, key, whom it trusts), checked at the start, renewed in
place.

A context is made once and its certificate loaded anew when the files change: connections that stand keep
theirs, new handshakes get the new one. What is wrong with the files is one clear error at the start; later it
is logged and the last good certificate stays."""

import datetime
import pathlib
import ssl

from cryptography import x509

SOON = datetime.timedelta(days=14)


class BadIdentity(Exception):
    """What is wrong with a certificate, a key or who is trusted."""


class Identity:
    """`cert`, `key`, `trusts`: paths, `trusts` empty for the system's; `mutual`: whether the other side must
    show a certificate that `trusts` has signed."""

    def __init__(self, cert, key, trusts="", mutual=False, name=""):
        self.cert, self.key, self.trusts, self.mutual, self.name = cert, key, trusts, mutual, name
        self.contexts, self.stamps, self.refused = [], {}, 0
        self.check(datetime.datetime.now(datetime.UTC))

    @property
    def paths(self):
        """What it was made of, to compare."""
        return self.cert, self.key, self.trusts, self.mutual, self.name

    def check(self, now):
        """Raises `BadIdentity`; returns how long the certificate still holds, None where there is none."""
        if self.mutual and not self.trusts:
            raise BadIdentity("mutual TLS needs to know whom to trust")
        if not self.cert:
            return None
        try:
            found = x509.load_pem_x509_certificate(pathlib.Path(self.cert).read_bytes())
        except OSError as fault:
            raise BadIdentity(f"{self.cert} can't be read: {fault.strerror}") from None
        except ValueError:
            raise BadIdentity(f"{self.cert} is no certificate in PEM") from None
        if now >= found.not_valid_after_utc:
            raise BadIdentity(f"{self.cert} ran out on {found.not_valid_after_utc:%Y-%m-%d %H:%M} UTC")
        if now < found.not_valid_before_utc:
            raise BadIdentity(
                f"{self.cert} holds only from {found.not_valid_before_utc:%Y-%m-%d %H:%M} UTC on"
            )
        self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
        return found.not_valid_after_utc - now

    def _load(self, context):
        try:
            if self.cert:
                context.load_cert_chain(self.cert, self.key or None)
            if self.trusts:
                context.load_verify_locations(self.trusts)
        except OSError as fault:  # ssl.SSLError is one of its kinds
            reason = getattr(fault, "reason", None) or fault.strerror or str(fault)
            raise BadIdentity(
                f"{self.cert} and {self.key or 'its key'} do not go together, or {self.trusts or 'trust'} "
                f"can't be read: {reason}"
            ) from None
        self.stamps = self._stamps()

    def _stamps(self):
        return {p: pathlib.Path(p).stat().st_mtime_ns for p in (self.cert, self.key, self.trusts) if p}

    def server(self):
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load(context)
        if self.mutual:
            context.verify_mode = ssl.CERT_REQUIRED
        self.contexts.append(context)
        return context

    def client(self):
        for context in self.contexts:
            if context.protocol == ssl.PROTOCOL_TLS_CLIENT:
                return context
        context = ssl.create_default_context(cafile=self.trusts or None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load(context)
        self.contexts.append(context)
        return context

    def server_name(self, host):
        return self.name or host

    def renew(self, log):
        """Loads changed files into the contexts in use; called now and then."""
        try:
            if self._stamps() == self.stamps:
                return False
            self.check(datetime.datetime.now(datetime.UTC))
            for context in self.contexts:
                self._load(context)
        except (BadIdentity, OSError) as fault:
            log.warning("certificate not renewed; the last good one stays", why=str(fault))
            self.stamps = {}
            return False
        log.info("certificate renewed", cert=self.cert)
        return True
