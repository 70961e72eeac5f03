"""Key and token files of a node, read at start; the fleet's keys are read again on SIGHUP.

Paths are relative to the folder of the settings file. Keys are the raw bytes of their files.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass, field
from pathlib import Path

from beamloom.protocol.codec import KeyRing
from beamloom.runtime.errors import AdminTlsError, SecretFileError
from beamloom.settings.node_file import AdminTable, NodeSettings

MINIMUM_KEY_BYTES = 32
MAXIMUM_KEY_BYTES = 64
"""BLAKE2b takes keys of at most 64 bytes (RFC 7693)."""

KEY_REMEDY = (
    f"make a file of {MINIMUM_KEY_BYTES} to {MAXIMUM_KEY_BYTES} random bytes, "
    f"for example with head -c {MINIMUM_KEY_BYTES} /dev/urandom"
)
TOKEN_REMEDY = "give a file with the token as its only line"


@dataclass(frozen=True, slots=True)
class NodeSecrets:
    """Contents of the files; without an admin token the admin API serves health requests only."""

    fleet_keys: KeyRing = field(repr=False)
    hash_key: bytes = field(repr=False)
    platform_token: str = field(repr=False)
    admin_token: str | None = field(repr=False)


def read_secrets(settings: NodeSettings, folder: Path) -> NodeSecrets:
    """Read all key and token files; raises an ExceptionGroup with a SecretFileError per fault."""
    reader = _Reader(folder)
    keys = [reader.key("fleet.key_files", name) for name in settings.fleet.key_files]
    hash_key = reader.key("fleet.hash_key_file", settings.fleet.hash_key_file)
    platform_token = reader.token("platform.token_file", settings.platform.token_file)
    admin_file = settings.admin.token_file
    admin_token = None if admin_file is None else reader.token("admin.token_file", admin_file)
    reader.raise_faults()
    return NodeSecrets(KeyRing(tuple(keys)), hash_key, platform_token, admin_token)


def read_fleet_keys(settings: NodeSettings, folder: Path) -> KeyRing:
    """Read the fleet's key files; raises an ExceptionGroup with a SecretFileError per fault."""
    reader = _Reader(folder)
    keys = [reader.key("fleet.key_files", name) for name in settings.fleet.key_files]
    reader.raise_faults()
    return KeyRing(tuple(keys))


def admin_tls_context(admin: AdminTable, folder: Path) -> ssl.SSLContext | None:
    """Return the admin API's TLS context, or None for plain HTTP; raises AdminTlsError."""
    if admin.certificate_file is None or admin.key_file is None:
        return None
    certificate, key = folder / admin.certificate_file, folder / admin.key_file
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ValueError) as error:
        raise AdminTlsError(certificate, key, error) from error
    return context


class _Reader:
    """Reads files and collects the faults, so that one exception reports all of them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._faults: list[SecretFileError] = []

    def key(self, setting: str, name: str) -> bytes:
        data = self._read(setting, name, KEY_REMEDY)
        if data is not None and not MINIMUM_KEY_BYTES <= len(data) <= MAXIMUM_KEY_BYTES:
            self._add(setting, name, f"the key has {len(data)} bytes", KEY_REMEDY)
        return data or b""

    def token(self, setting: str, name: str) -> str:
        data = self._read(setting, name, TOKEN_REMEDY)
        if data is None:
            return ""
        try:
            token = data.decode("ascii").strip()
        except UnicodeDecodeError:
            self._add(setting, name, "the token is not ASCII", TOKEN_REMEDY)
            return ""
        if not token or not token.isprintable():
            self._add(setting, name, "the file holds no token of one line", TOKEN_REMEDY)
        return token

    def raise_faults(self) -> None:
        if self._faults:
            raise ExceptionGroup("key and token files have faults", self._faults)

    def _read(self, setting: str, name: str, remedy: str) -> bytes | None:
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            self._add(setting, name, error.strerror or str(error), remedy)
            return None

    def _add(self, setting: str, name: str, reason: str, remedy: str) -> None:
        self._faults.append(SecretFileError(setting, self._folder / name, reason, remedy))
