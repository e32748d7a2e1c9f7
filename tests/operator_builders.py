"""Settings folders, certificates and a platform stand-in for tests of the commands."""

import contextlib
import datetime
import ipaddress
import json
import subprocess
import sys
import urllib.request

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

PROCESS_TOML = """
[platform]
address = "127.0.0.1:7000"
[proxy]
name = "proxy-1"
failure_domain = "a"
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
fleet_secret = "11111111111111111111111111111111"
[session]
current = "k1"
[session.secrets]
k1 = "22222222222222222222222222222222"
"""
GROUP_TOML = """
[groups.fees.servers.fees-1]
address = "127.0.0.1:7001"
failure_domain = "a"
"""


def write_settings_folder(folder):
    """Write valid settings files of a proxy with one group into a folder."""
    (folder / "10-process.toml").write_text(PROCESS_TOML)
    (folder / "20-fees.toml").write_text(GROUP_TOML)


@contextlib.contextmanager
def platform_standin():
    """Run the platform stand-in in another process; yield its address."""
    argv = [sys.executable, "-m", "standins.platform", "--port", "0"]
    with subprocess.Popen(argv, stdout=subprocess.PIPE, text=True) as process:
        try:
            yield ("127.0.0.1", int(process.stdout.readline().split()[1]))
        finally:
            process.terminate()


def set_fault(address, **faults):
    """Configure faults that the platform stand-in injects."""
    url = f"http://{address[0]}:{address[1]}/fault"
    request = urllib.request.Request(url, json.dumps(faults).encode())
    with urllib.request.urlopen(request, timeout=10) as response:
        response.read()


def write_certificate(path):
    """Write a self-signed certificate for 127.0.0.1 and its key to one PEM file."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
    ip_address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    valid_from = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder(subject, subject, key.public_key(), 1)
        .not_valid_before(valid_from)
        .not_valid_after(valid_from + datetime.timedelta(days=36_500))
        .add_extension(x509.SubjectAlternativeName([ip_address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    key_pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM) + key_pem)
