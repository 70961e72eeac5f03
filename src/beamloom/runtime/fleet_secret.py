"""The fleet's secret on one node: fetched from the store or a peer, then kept in the store.

The store holds the secret as an object that only the fleet writes. A store that is restored from a
copy older than that object has lost it. If it stayed lost, the next node that starts would create
another secret, and could neither verify the others' tokens and messages nor they its own. So each
node that learns of a new era of the store reads the secret and creates it again if it is missing.
If the store holds another one by then, the node adopts that and still verifies with the old one.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from beamloom.platform import store_objects
from beamloom.replication.reader_role import ReaderRole
from beamloom.replication.shared_secret import SecretStep, SharedSecret
from beamloom.routing.tokens.token import KEY_BYTES
from beamloom.runtime.decision_log import DecisionLog
from beamloom.runtime.http_client import HttpConnection
from beamloom.runtime.shared_secret import SecretFormat, fetch_shared_secret
from beamloom.settings.token_node import TokenNodeSettings

if TYPE_CHECKING:
    from beamloom.protocol.messages import Message
    from beamloom.replication.secret_exchange import SecretRequester, SecretResponder
    from beamloom.runtime.peer_link import PeerLink

ASK_PEERS_AFTER_SECONDS = 0.9
"""How long a starting node waits for the store before it asks peers as well."""
ASK_PEERS_INTERVAL_SECONDS = 0.3
"""Retry interval: several times a peer's response time, so a missing answer was probably lost."""
POLL_SECONDS = 0.02
"""How often the progress of the store's calls is polled; a fraction of CREATE_DELAY_SECONDS."""
CHECK_SPREAD_SECONDS = 1.0
"""Random delay of a check after a restore, so that not all nodes call the store at once. Readers
check immediately; a node that starts meanwhile asks its peers.
"""
MAXIMUM_SECRETS = 3
"""The current secret and the two before it, which still verify tokens of open flows."""

_FORMAT = SecretFormat(
    store_objects.secret_path(stale=False),
    store_objects.secret_path(stale=True),
    store_objects.new_secret_path(),
    store_objects.encode_secret,
    store_objects.read_secret,
    store_objects.read_era,
)


class FleetSecret:
    """Fetches the secret and keeps it in the store; `known` holds the current one, then older ones.

    `open_link` returns the socket for peers, or None if it cannot be opened. `on_change` is called
    when `keep` has replaced the current secret. Without `requests_from_peers` only the store is
    asked.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        role: ReaderRole,
        rng: random.Random,
        connection: HttpConnection,
        open_link: Callable[[], PeerLink | None],
        *,
        decisions: DecisionLog,
        requests_from_peers: bool,
    ) -> None:
        self.settings = settings
        self.known: tuple[bytes, ...] = ()
        self.on_change: Callable[[], None] = lambda: None
        self._role = role
        self._rng = rng
        self._connection = connection
        self._open_link = open_link
        self._decisions = decisions
        self._requests_from_peers = requests_from_peers
        self._requester: SecretRequester | None = None
        self._responder: SecretResponder | None = None
        self._from_peer: asyncio.Future[bytes] | None = None
        self._era: int | None = None
        self._check_needed = asyncio.Event()

    async def fetch(self) -> bool:
        """Get the secret from the store or from a peer; return whether it came from the store."""
        steps = SharedSecret(self._rng)
        first_start = self.settings.first_start
        store = asyncio.create_task(
            fetch_shared_secret(steps, self._connection, _FORMAT, first_start=first_start)
        )
        peers = asyncio.create_task(self._ask_peers(steps))
        try:
            done, _ = await asyncio.wait({store, peers}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            store.cancel()
            peers.cancel()
            self._connection.close()
        self._set_current(done.pop().result())
        from_peer = store not in done and self._from_peer is not None
        self._decisions.lifecycle("SecretKnown", source="peer" if from_peer else "store")
        self._schedule_check(steps, from_peer=from_peer)
        return not from_peer

    def _schedule_check(self, steps: SharedSecret, *, from_peer: bool) -> None:
        """Have `keep` check the store if it may not hold the secret that was fetched."""
        # A stale answer of a restored store may hold a secret that the store has lost since, and a
        # peer's answer one that the store has replaced since.
        is_old = steps.step is SecretStep.READ_STALE and steps.store_was_restored
        if is_old or from_peer:
            self._check_needed.set()
        if steps.era is not None:
            self.record_era(steps.era)

    async def keep(self) -> None:
        """Check the secret in the store whenever it may be lost, until cancelled."""
        while True:
            await self._check_needed.wait()
            if not self._role.reading:
                await asyncio.sleep(self._rng.uniform(0.0, CHECK_SPREAD_SECONDS))
            self._check_needed.clear()
            await self._check_store()

    def record_era(self, era: int) -> None:
        """Record an era of the store; one later than all before requires a check."""
        if self._era is not None and era > self._era:
            self._check_needed.set()
        self._era = era if self._era is None else max(era, self._era)

    def start_answering(self) -> None:
        """Answer members' requests with the current secret from now on."""
        from beamloom.replication.secret_exchange import SecretResponder

        self._requester = None
        if self._responder is None:
            self._responder = SecretResponder(self.known[0])
        else:
            self._responder.secret = self.known[0]

    def record_member(self, host: str, now: float) -> None:
        """Record that a host has sent a message signed with the secret."""
        if self._responder is not None:
            self._responder.note_member(host, now)

    def handle_unsigned(self, host: str, message: Message, now: float) -> None:
        """Handle a request for the secret, or an answer to this node's request."""
        link = self._open_link() if self._responder is not None else None
        if self._responder is not None and link is not None:
            answer = self._responder.answer(host, message, now)
            if answer is not None:
                self._decisions.lifecycle("SecretGiven", host=host)
                link.send_unsigned(answer.host, answer.message)
        if self._requester is not None and self._from_peer is not None:
            secret = self._requester.take(host, message)
            if secret is not None and not self._from_peer.done():
                self._from_peer.set_result(secret)

    def _set_current(self, secret: bytes) -> None:
        older = (known for known in self.known if known != secret)
        self.known = (secret, *older)[:MAXIMUM_SECRETS]

    async def _check_store(self) -> None:
        """Read the store's secret and adopt it; create it from this node's if it is missing."""
        steps = SharedSecret(self._rng, first_step=SecretStep.READ)
        current = self.known[0]
        secret = await fetch_shared_secret(
            steps, self._connection, _FORMAT, offered=current, pause=self._role.shared_pause_seconds
        )
        self._connection.close()
        if secret != current:
            self._set_current(secret)
            self._decisions.lifecycle("SecretChanged")
            self.on_change()
        elif steps.found_none:
            self._decisions.lifecycle("SecretRestored")

    async def _ask_peers(self, steps: SharedSecret) -> bytes:
        """Ask the seeds once the store fails, is late or holds no secret; return their answer."""
        if not self._requests_from_peers:
            await asyncio.Event().wait()
        began = _now()
        while not (steps.failures or steps.found_none or _now() - began >= ASK_PEERS_AFTER_SECONDS):
            await asyncio.sleep(POLL_SECONDS)
        from beamloom.replication.secret_exchange import NONCE_BYTES, SecretRequester

        self._requester = SecretRequester(os.urandom(NONCE_BYTES), KEY_BYTES)
        self._from_peer = asyncio.get_running_loop().create_future()
        while not self._from_peer.done():
            link = self._open_link()
            if link is not None:
                for request in self._requester.requests(self.settings.seeds):
                    link.send_unsigned(request.host, request.message)
            await asyncio.wait({self._from_peer}, timeout=ASK_PEERS_INTERVAL_SECONDS)
        return self._from_peer.result()


def _now() -> float:
    return asyncio.get_running_loop().time()
