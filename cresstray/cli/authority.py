"""A private authority and the halls' certificates. Keep its key off the gateways."""

from __future__ import annotations

import os
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from cresstray.config import lines

# An authority outlives many rotations of the halls' keys.
_AUTHORITY_DAYS = 3650
_EARLY = timedelta(minutes=10)  # clocks of the halls may differ by minutes


def make(folder: str, halls: Iterable[str], days: int = 365) -> list[str]:
    """Paths written; those of a hall replace its earlier ones. OSError or ValueError."""
    halls = [lines.name(hall) for hall in halls]
    made = Path(folder)
    made.mkdir(mode=0o700, parents=True, exist_ok=True)
    written = []
    if not (made / "authority.key").exists():
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "cresstray halls")])
        certificate = (
            _begun(name, name, key, _AUTHORITY_DAYS)
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(
                x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True
            )
            .sign(key, hashes.SHA256())
        )
        written += _write(made / "authority", key, certificate)
    key = serialization.load_pem_private_key((made / "authority.key").read_bytes(), None)
    authority = x509.load_pem_x509_certificate((made / "authority.pem").read_bytes())
    for hall in halls:
        own = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, hall)])
        certificate = (
            _begun(name, authority.subject, own, days)
            .add_extension(x509.SubjectAlternativeName([x509.DNSName(hall)]), critical=False)
            .add_extension(
                x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]),
                critical=False,
            )
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(authority.public_key()), critical=False
            )
            .sign(key, hashes.SHA256())
        )
        written += _write(made / hall, own, certificate)
    return written


def _begun(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, days: int
) -> x509.CertificateBuilder:
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _EARLY)
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
    )


def _write(path: Path, key: ec.EllipticCurvePrivateKey, certificate: x509.Certificate) -> list[str]:
    secret = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    written = []
    for name, data in (
        (f"{path}.key", secret),
        (f"{path}.pem", certificate.public_bytes(serialization.Encoding.PEM)),
    ):
        # Danger: a key that others could read, even for a moment; and one that is half written when read.
        with open(os.open(name + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
            os.fchmod(file.fileno(), 0o600)
            file.write(data)
        os.replace(name + ".new", name)
        written.append(name)
    return written
