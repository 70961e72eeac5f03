"""Checks that parsers of untrusted bytes raise only the errors that they declare."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from beamloom.fuzzing.errors import InvariantViolationError
from beamloom.node.view_codecs import BACKEND_CODEC, ConfigurationCodec
from beamloom.object_api.errors import PlatformError
from beamloom.object_api.wire import (
    batch_from_json,
    decode,
    listing_from_json,
    machines_from_json,
    reading_from_json,
)
from beamloom.platform import packet_layout, store_objects
from beamloom.platform.store_encoding import encode_backend, encode_list, encode_object
from beamloom.protocol.codec import KeyRing, decode_datagram
from beamloom.protocol.errors import ProtocolError
from beamloom.protocol.flow_messages import unpack_records
from beamloom.protocol.partition_sets import unpack_partitions
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.packet import PacketError, parse_packet, with_hop_limit_decremented
from beamloom.routing.tokens.configuration_history import ConfigurationHistory
from beamloom.routing.tokens.records import BackendRecord, BackendState
from beamloom.settings.deployment import check_deployment
from beamloom.settings.errors import SettingsError
from beamloom.settings.node_file import check_node_settings
from beamloom.settings.toml_source import TomlSource, parse_toml
from beamloom.standins import flow_packets

KEYS = KeyRing((b"fuzzed fleet key",))
GOOD_BACKEND = BackendRecord(
    "i-00000001", 1, "tracker", "10.0.0.9", 8080, "west", 2, BackendState.READY
)
FOREIGN_NAME = "i-0badbad1"


@dataclass(frozen=True, slots=True)
class Parser:
    """A parser and the types of errors that it may raise, alone or in exception groups."""

    parse: Callable[[bytes], object]
    errors: tuple[type[Exception], ...]


def _forward_packet(data: bytes) -> object:
    parse_packet(data)
    return with_hop_limit_decremented(data)


def _decode_signed_datagram(body: bytes) -> object:
    return decode_datagram(KEYS, body + KEYS.sign(body))


def _check_settings_file(check: Callable[[TomlSource], object], data: bytes) -> object:
    return check(parse_toml(data.decode(errors="replace")))


def _read_platform_answer(reader: Callable[[dict[str, Any]], object], data: bytes) -> object:
    """Read the decoded JSON of an answer as the client does; ignore bodies that are not JSON."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return decode(reader, body)


def _read_beside_foreign_content(data: bytes) -> object:
    """Read a list in which another program wrote the content of one object.

    The other object is read, or remains for the next page.
    """
    objects = (
        encode_object(FOREIGN_NAME, 5, 5, FOREIGN_NAME),
        encode_object(GOOD_BACKEND.name, 6, 6, encode_backend(GOOD_BACKEND)),
    )
    body = json.dumps(encode_list(objects, False, 9)).encode()
    body = body.replace(f'"spec": "{FOREIGN_NAME}"'.encode(), b'"spec": ' + data)
    page = store_objects.read_page(body, 1, store_objects.translate_backend)
    if (page.more, page.last_name) == (True, FOREIGN_NAME):
        return page
    if GOOD_BACKEND not in [named.record for named in page.records]:
        raise InvariantViolationError("the entry beside a foreign one was not read")
    return page


PARSERS: dict[str, Parser] = {
    "packet": Parser(_forward_packet, (PacketError,)),
    "control-datagram": Parser(partial(decode_datagram, KEYS), (ProtocolError,)),
    "signed-control-datagram": Parser(_decode_signed_datagram, (ProtocolError,)),
    "flow-records": Parser(unpack_records, (ProtocolError,)),
    "partition-set": Parser(partial(unpack_partitions, limit=PARTITION_COUNT), (ProtocolError,)),
    "node-settings": Parser(partial(_check_settings_file, check_node_settings), (SettingsError,)),
    "deployment": Parser(partial(_check_settings_file, check_deployment), (SettingsError,)),
    "token-packet": Parser(packet_layout.parse_packet, ()),
    "flow-packet": Parser(flow_packets.decode_packet, ()),
    "forwarded-packet": Parser(flow_packets.decode_forwarded, ()),
    "backend-delta": Parser(BACKEND_CODEC.decode, (ValueError,)),
    "configuration-delta": Parser(ConfigurationCodec(ConfigurationHistory()).decode, (ValueError,)),
    "backend-list": Parser(
        partial(store_objects.read_page, era=1, translate=store_objects.translate_backend),
        (ValueError,),
    ),
    "configuration-changes": Parser(
        partial(store_objects.read_changes, era=1, translate=store_objects.translate_configuration),
        (ValueError,),
    ),
    "foreign-content": Parser(_read_beside_foreign_content, ()),
    "secret": Parser(store_objects.read_secret, (ValueError,)),
    "platform-listing": Parser(partial(_read_platform_answer, listing_from_json), (PlatformError,)),
    "platform-reading": Parser(partial(_read_platform_answer, reading_from_json), (PlatformError,)),
    "platform-watch": Parser(partial(_read_platform_answer, batch_from_json), (PlatformError,)),
    "platform-machines": Parser(
        partial(_read_platform_answer, machines_from_json), (PlatformError,)
    ),
}


class CodecSubject:
    """Passes bytes to parsers; an error that is not one of `Parser.errors` is a failure."""

    def __init__(self) -> None:
        self._actions = {"parse": self._parse}

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """The only action, `parse`, passes bytes (in hexadecimal) to a parser."""
        return self._actions

    def finish(self) -> None:
        """Do nothing, as parsers keep no state."""

    def _parse(self, parser: str, data: str) -> None:
        chosen = PARSERS[parser]
        try:
            chosen.parse(bytes.fromhex(data))
        except chosen.errors:
            return
        except ExceptionGroup as group:
            _, unexpected = group.split(chosen.errors)
            if unexpected is not None:
                raise InvariantViolationError(f"{parser} raised {unexpected!r}") from group
        except Exception as error:
            kind = type(error).__name__
            raise InvariantViolationError(f"{parser} raised {kind}: {error}") from error
