"""The fleet's secret on one node: from the store or a neighbour at a start, and kept there since.

The store holds it as an object of the fleet's own. A store that comes back from a copy older than
that object has lost it, and nobody but the fleet writes it again: without that, the next node that
starts would make another, and neither could read the tokens nor the messages of the others. So each
node that hears of a new era looks, and puts the secret back. Where another one is there already,
that one holds from then on, and the former still verifies.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from beamloom.platform import store_objects
from beamloom.replication.reader_duty import ReaderDuty
from beamloom.replication.shared_secret import SecretStep, SharedSecret
from beamloom.routing.tokens.token import KEY_BYTES
from beamloom.runtime.decision_log import DecisionLog
from beamloom.runtime.http_client import HttpConnection
from beamloom.runtime.shared_secret import SecretFormat, fetch_shared_secret
from beamloom.settings.token_node import TokenNodeSettings

if TYPE_CHECKING:
    from beamloom.protocol.messages import Message
    from beamloom.replication.secret_exchange import SecretKeeper, SecretSeeker
    from beamloom.runtime.peer_link import PeerLink

ASK_PEERS_AFTER_SECONDS = 0.9
"""A store that has not answered by then may never do so."""
ASK_PEERS_INTERVAL_SECONDS = 0.3
"""A neighbour answers within a fraction of that, unless its answer was lost."""
POLL_SECONDS = 0.02
"""How soon it is noticed that the store holds no secret: a part of MAKE_AFTER_SECONDS.
"""
CHECK_SPREAD_SECONDS = 1.0
"""Not all nodes look in the same moment after a restore; readers, who notice it first, do at once.
A node that starts meanwhile asks its neighbours.
"""
MAX_SECRETS = 3
"""The one that holds, and those before it while flows of theirs may be open."""

_FORMAT = SecretFormat(
    store_objects.secret_path(stale=False),
    store_objects.secret_path(stale=True),
    store_objects.new_secret_path(),
    store_objects.encode_secret,
    store_objects.read_secret,
    store_objects.read_era,
)


class FleetSecret:
    """Fetches the secret and keeps it; `known` holds the one in use and then former ones.

    `open_link` returns the socket for peers, None where there is none; `on_change` is called when
    another secret holds than before.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        duty: ReaderDuty,
        rng: random.Random,
        connection: HttpConnection,
        open_link: Callable[[], PeerLink | None],
        *,
        decisions: DecisionLog,
        asks_peers: bool,
    ) -> None:
        self.settings = settings
        self.known: tuple[bytes, ...] = ()
        self.on_change: Callable[[], None] = lambda: None
        self._duty = duty
        self._rng = rng
        self._connection = connection
        self._open_link = open_link
        self._decisions = decisions
        self._asks_peers = asks_peers
        self._seeker: SecretSeeker | None = None
        self._keeper: SecretKeeper | None = None
        self._from_peer: asyncio.Future[bytes] | None = None
        self._era: int | None = None
        self._check_needed = asyncio.Event()

    async def fetch(self) -> bool:
        """Get the secret from the store or from a neighbour; return whether the store told it."""
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
        self._decisions.life("SecretKnown", source="peer" if from_peer else "store")
        self._schedule_check(steps, from_peer=from_peer)
        return not from_peer

    def _schedule_check(self, steps: SharedSecret, *, from_peer: bool) -> None:
        """Look again where the store may not hold what was read, or what a neighbour told."""
        # A stale answer of a later era may be of what the store has lost since.
        is_old = steps.step is SecretStep.READ_STALE and steps.is_of_restored_store
        if is_old or (from_peer and steps.found_none):
            self._check_needed.set()
        if steps.era is not None:
            self.note_era(steps.era)

    async def keep(self) -> None:
        """Look after the secret in the store whenever that may have lost it; until cancelled."""
        while True:
            await self._check_needed.wait()
            if not self._duty.reading:
                await asyncio.sleep(self._rng.uniform(0.0, CHECK_SPREAD_SECONDS))
            self._check_needed.clear()
            await self._check_store()

    def note_era(self, era: int) -> None:
        """Take the newest era of the store that this node has heard of."""
        if self._era is not None and era > self._era:
            self._check_needed.set()
        self._era = era if self._era is None else max(era, self._era)

    def start_answering(self) -> None:
        """Give the secret to members that ask for it, from now on."""
        from beamloom.replication.secret_exchange import SecretKeeper

        self._seeker = None
        if self._keeper is None:
            self._keeper = SecretKeeper(self.known[0])
        else:
            self._keeper.secret = self.known[0]

    def note_member(self, host: str, now: float) -> None:
        """Note that a host has proved that it has the secret."""
        if self._keeper is not None:
            self._keeper.note_member(host, now)

    def handle_unsigned(self, host: str, message: Message, now: float) -> None:
        """Take a message of the exchange of the secret."""
        link = self._open_link() if self._keeper is not None else None
        if self._keeper is not None and link is not None:
            answer = self._keeper.answer(host, message, now)
            if answer is not None:
                self._decisions.life("SecretGiven", host=host)
                link.send_unsigned(answer.host, answer.message)
        if self._seeker is not None and self._from_peer is not None:
            secret = self._seeker.take(host, message)
            if secret is not None and not self._from_peer.done():
                self._from_peer.set_result(secret)

    def _set_current(self, secret: bytes) -> None:
        older = (known for known in self.known if known != secret)
        self.known = (secret, *older)[:MAX_SECRETS]

    async def _check_store(self) -> None:
        """Read the secret that the store holds now, putting this node's there if it has none."""
        steps = SharedSecret(self._rng, first_step=SecretStep.READ)
        current = self.known[0]
        secret = await fetch_shared_secret(
            steps, self._connection, _FORMAT, offered=current, pause=self._duty.shared_pause_seconds
        )
        self._connection.close()
        if secret != current:
            self._set_current(secret)
            self._decisions.life("SecretChanged")
            self.on_change()
        elif steps.found_none:
            self._decisions.life("SecretRestored")

    async def _ask_peers(self, steps: SharedSecret) -> bytes:
        """Ask the seeds for the secret where the store fails or holds none; return an answer."""
        if not self._asks_peers:
            await asyncio.Event().wait()
        began = _now()
        while not (steps.failures or steps.found_none or _now() - began >= ASK_PEERS_AFTER_SECONDS):
            await asyncio.sleep(POLL_SECONDS)
        from beamloom.replication.secret_exchange import NONCE_BYTES, SecretSeeker

        self._seeker = SecretSeeker(os.urandom(NONCE_BYTES), KEY_BYTES)
        self._from_peer = asyncio.get_running_loop().create_future()
        while not self._from_peer.done():
            link = self._open_link()
            if link is not None:
                for request in self._seeker.requests(self.settings.seeds):
                    link.send_unsigned(request.host, request.message)
            await asyncio.wait({self._from_peer}, timeout=ASK_PEERS_INTERVAL_SECONDS)
        return self._from_peer.result()


def _now() -> float:
    return asyncio.get_running_loop().time()
