"""Builders of stored objects for tests."""

from beamloom.protocol.events import StoredObject


def stored(key: str, value: object, revision: int, created: int | None = None) -> StoredObject:
    return StoredObject(key, value, revision, revision if created is None else created)


def service(key: str, revision: int, ip: str = "10.0.0.1", port: object = 80) -> StoredObject:
    return stored(f"service/{key}", {"ip": ip, "protocol": "tcp", "port": port}, revision)


def backend(
    key: str, revision: int, address: str = "127.0.0.1:9000", created: int | None = None
) -> StoredObject:
    value = {"address": address, "health": "127.0.0.1:9001", "zone": "laucala"}
    return stored(f"backend/{key}", value, revision, created)


def values(scope: str, revision: int, **settings: object) -> StoredObject:
    named = {name.replace("__", "."): value for name, value in settings.items()}
    return stored(f"settings/{scope}", {"values": named}, revision)
