"""Requests for what a node lacks, and answers to those of its peers.

A node asks an able peer that has what it lacks, and another one where no answer comes. It answers
within a part of its link (`answer_budget.py`) and names other peers beyond that.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from beamloom.protocol.messages import Message
from beamloom.protocol.view_messages import NEVER, AskElsewhere, ViewPart, ViewRequest
from beamloom.replication.answer_budget import MOST_REFERRALS, AnswerBudget
from beamloom.replication.peer_table import PeerTable
from beamloom.replication.pull_choice import Asked, PullChoice
from beamloom.replication.shared_view import SharedView
from beamloom.replication.view_transfer import Reassembly, split
from beamloom.telemetry.histogram import LatencyHistogram

REQUEST_SECONDS = 0.15
"""A request that brought nothing by then is repeated, to whoever tells of more."""
WHOLE_SECONDS = 0.5
"""The same for a request for everything, which takes longer to answer."""
ASK_OTHERS_SECONDS = 3.0
"""For so long a node that is behind asks one peer after another; below the shortest contact bound
(4 s). After that heartbeats go on.
"""


class SendToHost(NamedTuple):
    """Send a message to the node at a host."""

    host: str
    message: Message


class ViewPulls:
    """Requests and answers of one node; what is to be sent is added to `sends`.

    `catch_up_seconds` is from hearing that a peer knows more to knowing it. `on_merged` is called
    when a view got further, `on_nobody` when this node is behind and knows nobody to ask.
    """

    def __init__(
        self,
        views: Sequence[SharedView[Any]],
        peers: PeerTable,
        chance: random.Random,
        sends: list[SendToHost],
        counters: Counter[str],
        *,
        by_capacity: bool,
    ) -> None:
        self.choice = PullChoice(peers, chance)
        self.budget = AnswerBudget(peers.capacity)
        self.catch_up_seconds = LatencyHistogram()
        self.on_merged: Callable[[float], None] = lambda now: None
        self.on_nobody: Callable[[float], None] = lambda now: None
        self._views = views
        self._peers = peers
        self._sends = sends
        self._counters = counters
        self._by_capacity = by_capacity
        self._reassembly = Reassembly()
        self._transfer = 0

    def request(self, host: str, index: int, revision: int, now: float) -> None:
        """Ask for what a peer has told to know, that peer or an abler one that knows it too."""
        if now - self._views[index].requested_at < self._patience_seconds(index):
            return
        chosen = self.choice.choose(index, revision, now) if self._by_capacity else ""
        self._ask(Asked(chosen or host, 0), index, now)

    def request_whole(self, host: str, index: int, now: float) -> None:
        """Ask a peer for all that it knows of a kind, as it has newer words at no higher revision.

        The answer may build on what is known here, so that it holds the difference only.
        """
        shared = self._views[index]
        if now - shared.requested_at < WHOLE_SECONDS:
            return
        shared.requested_at = now
        self._counters["requests"] += 1
        self._sends.append(SendToHost(host, shared.request(index, 0, whole=True)))

    def _patience_seconds(self, index: int) -> float:
        return WHOLE_SECONDS if self._views[index].revision == NEVER else REQUEST_SECONDS

    def _ask(self, asked: Asked, index: int, now: float) -> None:
        shared = self._views[index]
        shared.requested_at = now
        self.choice.asked[index] = asked
        self._counters["requests"] += 1
        request = shared.request(index, asked.attempt)
        self._sends.append(SendToHost(asked.host, request))

    def advance(self, now: float) -> None:
        """Ask another peer in place of one that has not answered.

        Where those that have what is lacking do not answer, `on_nobody` is called. What the store
        has told meanwhile is not asked for.
        """
        if not self._by_capacity:
            return
        for index, shared in enumerate(self._views):
            since = shared.behind_since
            if since is None or now - since > ASK_OTHERS_SECONDS:
                continue
            if now - shared.requested_at < self._patience_seconds(index):
                continue
            if self.choice.is_behind(index, shared.revision, now):
                self._ask_another(index, shared, now)

    def _ask_another(self, index: int, shared: SharedView[Any], now: float) -> None:
        shared.requested_at = now
        attempt = 0
        if index in self.choice.asked:
            asked = self.choice.asked[index]
            attempt = asked.attempt
            self.choice.note_unanswered(index, now)
            self._counters["unanswered"] += not asked.refused
        other = self.choice.choose(index, shared.revision + 1, now)
        if other:
            self._ask(Asked(other, attempt), index, now)
        else:
            self.on_nobody(now)

    def take_elsewhere(self, host: str, message: AskElsewhere, now: float) -> None:
        """Ask one of the hosts that a peer named in place of an answer, or that peer again.

        After a few hops the next one is asked only when the patience for this one is over.
        """
        asked = self.choice.asked.get(message.view)
        if asked is None or asked.host != host:
            return
        self._counters["referred"] += 1
        self.choice.note_busy(host, now)
        if asked.attempt > MOST_REFERRALS:
            self.choice.asked[message.view] = asked._replace(refused=True)
            return
        named = tuple(name for name in message.hosts if name != self._peers.host)
        other = self.choice.choose(message.view, NEVER, now, named) if named else ""
        lacking = self._views[message.view].revision + 1
        other = other or self.choice.choose(message.view, lacking, now)
        attempt = asked.attempt + 1 if other else max(asked.attempt + 1, MOST_REFERRALS)
        self._ask(Asked(other or host, attempt), message.view, now)

    def answer(self, host: str, request: ViewRequest, now: float) -> None:
        """Send a peer what it lacks, or whom else it may ask."""
        if not 0 <= request.view < len(self._views):
            return
        if self._refers(host, request, now):
            return
        data = self._views[request.view].encode_for(request)
        if data is None:
            self._tell_nothing(host, request)
            return
        self._transfer += 1
        self._counters["answers"] += 1
        self._counters["answer_bytes"] += len(data)
        self.budget.note_sent(len(data))
        self.choice.note_told(request.view, host, self._views[request.view].revision, now)
        parts = split(request.view, self._transfer, data)
        self._sends.extend(SendToHost(host, part) for part in parts)

    def _tell_nothing(self, host: str, request: ViewRequest) -> None:
        """Let a peer that was sent here go on, as what it lacks is not known here yet."""
        if request.attempt > 0:
            self._sends.append(SendToHost(host, AskElsewhere(request.view, [])))

    def _refers(self, host: str, request: ViewRequest, now: float) -> bool:
        """Send a peer elsewhere if enough was answered, or a much abler peer can; return whether.

        Where nobody else is known to have what it lacks, it is answered here.
        """
        if not self._by_capacity:
            return False
        revision = self._views[request.view].revision
        is_first = request.attempt == 0
        leaves = is_first and self.choice.has_much_abler(request.view, revision, now)
        if self.budget.admits(request.attempt, now) and not leaves:
            return False
        others = self.choice.referrals(request.view, revision, host, now)
        if not others:
            return False
        self._counters["referrals"] += 1
        self._sends.append(SendToHost(host, AskElsewhere(request.view, others)))
        return True

    def take_part(self, host: str, message: ViewPart, now: float) -> None:
        """Take a part of an answer; the last one brings the view further."""
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
