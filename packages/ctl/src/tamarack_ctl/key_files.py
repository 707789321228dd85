"""Keys and certificates for a fleet."""

from __future__ import annotations

import datetime
import ipaddress
import secrets
from typing import NamedTuple

import zmq
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

KEY_BYTES = 32


class FleetKeys(NamedTuple):
    """CURVE key pair of a fleet, in Z85."""

    public: str
    secret: str


class Certificate(NamedTuple):
    """A self-signed certificate and its private key, in PEM."""

    certificate: bytes
    private_key: bytes


def new_workspace_key() -> str:
    """A bearer key; only its hash is stored."""
    return f"tk-{secrets.token_urlsafe(KEY_BYTES)}"


def new_fleet_keys() -> FleetKeys:
    """A key pair that all routers of a fleet share."""
    public, secret = zmq.curve_keypair()
    return FleetKeys(public.decode(), secret.decode())


def new_certificate(addresses: list[str], days: int) -> Certificate:
    """A self-signed certificate for IP addresses."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "tamarackturn")])
    now = datetime.datetime.now(datetime.UTC)
    alternative_names = [x509.IPAddress(ipaddress.ip_address(address)) for address in addresses]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(days=days))
        .add_extension(x509.SubjectAlternativeName(alternative_names), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return Certificate(certificate.public_bytes(serialization.Encoding.PEM), private)
