"""Requests for missing changes, and answers to the requests of peers.

A node prefers a peer with high capacity among those that have the changes, and asks another one
after a timeout. It answers within a share of its link's bandwidth (`answer_budget.py`); beyond that
it refers the requester to other peers.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from beamloom.protocol.messages import Message
from beamloom.protocol.view_messages import NEVER, AskElsewhere, ViewPart, ViewRequest
from beamloom.replication.answer_budget import MAXIMUM_REFERRALS, AnswerBudget
from beamloom.replication.peer_table import PeerTable
from beamloom.replication.pull_choice import PendingRequest, PullChoice
from beamloom.replication.shared_view import SharedView
from beamloom.replication.view_transfer import Reassembly, split
from beamloom.telemetry.histogram import LatencyHistogram

REQUEST_TIMEOUT_SECONDS = 0.15
"""A request without an answer is repeated after this time, to a peer that has the changes."""
WHOLE_REQUEST_TIMEOUT_SECONDS = 0.5
"""The same for requests for a whole view, which take longer to answer."""
MAXIMUM_RETRY_SECONDS = 3.0
"""A node that stays behind for longer stops retrying and relies on digests; below the shortest
contact bound (4 s).
"""


class SendToHost(NamedTuple):
    """A message to send to the node at a host."""

    host: str
    message: Message


class ViewPulls:
    """Requests and answers of one node; outgoing messages are appended to `sends`.

    `catch_up_seconds` measures the time from a digest with a higher revision to a merge.
    `on_merged` is called after a view was updated from a peer, `on_no_candidate` when this node is
    behind and no peer is left to ask.
    """

    def __init__(
        self,
        views: Sequence[SharedView[Any]],
        peers: PeerTable,
        rng: random.Random,
        sends: list[SendToHost],
        counters: Counter[str],
        *,
        by_capacity: bool,
    ) -> None:
        self.choice = PullChoice(peers, rng)
        self.budget = AnswerBudget(peers.capacity)
        self.catch_up_seconds = LatencyHistogram()
        self.on_merged: Callable[[float], None] = lambda now: None
        self.on_no_candidate: Callable[[float], None] = lambda now: None
        self._views = views
        self._peers = peers
        self._sends = sends
        self._counters = counters
        self._by_capacity = by_capacity
        self._reassembly = Reassembly()
        self._transfer = 0

    def request(self, host: str, index: int, revision: int, now: float) -> None:
        """Request changes from a peer with that revision, drawn by capacity, or from `host`."""
        if now - self._views[index].requested_at < self._timeout_seconds(index):
            return
        chosen = self.choice.choose(index, revision, now) if self._by_capacity else ""
        self._ask(PendingRequest(chosen or host, 0), index, now)

    def request_whole(self, host: str, index: int, now: float) -> None:
        """Request a whole view from a peer that has newer records at no higher revision.

        The request names the bases held here, so that the answer may contain only a difference.
        """
        shared = self._views[index]
        if now - shared.requested_at < WHOLE_REQUEST_TIMEOUT_SECONDS:
            return
        shared.requested_at = now
        self._counters["requests"] += 1
        self._sends.append(SendToHost(host, shared.request(index, 0, whole=True)))

    def _timeout_seconds(self, index: int) -> float:
        return (
            WHOLE_REQUEST_TIMEOUT_SECONDS
            if self._views[index].revision == NEVER
            else REQUEST_TIMEOUT_SECONDS
        )

    def _ask(self, pending: PendingRequest, index: int, now: float) -> None:
        shared = self._views[index]
        shared.requested_at = now
        self.choice.pending[index] = pending
        self._counters["requests"] += 1
        request = shared.request(index, pending.attempt)
        self._sends.append(SendToHost(pending.host, request))

    def advance(self, now: float) -> None:
        """Repeat requests that timed out, to another peer.

        Without another peer that has the changes, `on_no_candidate` is called. Nothing is requested
        that the store has delivered meanwhile.
        """
        if not self._by_capacity:
            return
        for index, shared in enumerate(self._views):
            behind_since = shared.behind_since
            if behind_since is None or now - behind_since > MAXIMUM_RETRY_SECONDS:
                continue
            if now - shared.requested_at < self._timeout_seconds(index):
                continue
            if self.choice.is_behind(index, shared.revision, now):
                self._ask_another(index, shared, now)

    def _ask_another(self, index: int, shared: SharedView[Any], now: float) -> None:
        shared.requested_at = now
        attempt = 0
        if index in self.choice.pending:
            pending = self.choice.pending[index]
            attempt = pending.attempt
            self.choice.note_unanswered(index, now)
            self._counters["unanswered"] += not pending.refused
        other = self.choice.choose(index, shared.revision + 1, now)
        if other:
            self._ask(PendingRequest(other, attempt), index, now)
        else:
            self.on_no_candidate(now)

    def handle_referral(self, host: str, message: AskElsewhere, now: float) -> None:
        """Follow a peer's referral to other hosts, or ask that peer again if none is usable.

        After more than MAXIMUM_REFERRALS hops the next request waits for the timeout of this one.
        """
        pending = self.choice.pending.get(message.view)
        if pending is None or pending.host != host:
            return
        self._counters["referred"] += 1
        self.choice.note_busy(host, now)
        if pending.attempt > MAXIMUM_REFERRALS:
            self.choice.pending[message.view] = pending._replace(refused=True)
            return
        named = tuple(name for name in message.hosts if name != self._peers.host)
        other = self.choice.choose(message.view, NEVER, now, named) if named else ""
        lacking = self._views[message.view].revision + 1
        other = other or self.choice.choose(message.view, lacking, now)
        attempt = pending.attempt + 1 if other else max(pending.attempt + 1, MAXIMUM_REFERRALS)
        self._ask(PendingRequest(other or host, attempt), message.view, now)

    def answer(self, host: str, request: ViewRequest, now: float) -> None:
        """Send a peer what it lacks, or refer it to other peers."""
        if not 0 <= request.view < len(self._views):
            return
        if self._refer_elsewhere(host, request, now):
            return
        data = self._views[request.view].encode_for(request)
        if data is None:
            self._reply_without_hosts(host, request)
            return
        self._transfer += 1
        self._counters["answers"] += 1
        self._counters["answer_bytes"] += len(data)
        self.budget.note_sent(len(data))
        self.choice.note_revision(request.view, host, self._views[request.view].revision, now)
        parts = split(request.view, self._transfer, data)
        self._sends.extend(SendToHost(host, part) for part in parts)

    def _reply_without_hosts(self, host: str, request: ViewRequest) -> None:
        """Reply without hosts to a referred peer, as its missing changes are not known here yet."""
        if request.attempt > 0:
            self._sends.append(SendToHost(host, AskElsewhere(request.view, [])))

    def _refer_elsewhere(self, host: str, request: ViewRequest, now: float) -> bool:
        """Refer a peer elsewhere if the budget is spent or a stronger peer can answer.

        Returns whether it did. The request is answered here if no other peer has the changes.
        """
        if not self._by_capacity:
            return False
        revision = self._views[request.view].revision
        is_first = request.attempt == 0
        leaves = is_first and self.choice.has_stronger_peer(request.view, revision, now)
        if self.budget.admits(request.attempt, now) and not leaves:
            return False
        others = self.choice.referrals(request.view, revision, host, now)
        if not others:
            return False
        self._counters["referrals"] += 1
        self._sends.append(SendToHost(host, AskElsewhere(request.view, others)))
        return True

    def handle_part(self, host: str, message: ViewPart, now: float) -> None:
        """Process a part of an answer; the view is updated after the last one."""
        if not 0 <= message.view < len(self._views):
            return
        shared = self._views[message.view]
        shared.requested_at = now
        self.choice.note_answered(message.view, host)
        try:
            data = self._reassembly.take(host, message, now)
            if data is None:
                return
            merged = shared.merge(data)
        except ValueError:
            self._counters["unreadable"] += 1
            return
        shared.requested_at = float("-inf")
        if merged and shared.behind_since is not None:
            self.catch_up_seconds.observe(now - shared.behind_since)
            shared.behind_since = None
        if merged:
            self._counters["merged"] += 1
            self.on_merged(now)
