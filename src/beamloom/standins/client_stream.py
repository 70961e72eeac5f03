"""Client flows that send updates over one long-lived connection."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from beamloom.model.addresses import SocketAddress, VirtualAddress
from beamloom.standins.application import Answer, AnswerStatus, Request, RequestKind, frame
from beamloom.standins.client_model import Outcome, TcpFlow
from beamloom.standins.tcp_connection import TcpOptions


@dataclass(frozen=True, slots=True)
class StreamOptions:
    """Parameters of a stream; times are in seconds, `size` is that of each answer in bytes.

    An update is sent every `interval`; the flow times out if one is unanswered for
    `answer_timeout_seconds`. Closing starts after `duration`, or only by `close` if that is zero.
    """

    flow_id: str
    local: SocketAddress
    service: VirtualAddress
    interval: float = 5.0
    answer_timeout_seconds: float = 15.0
    duration: float = 0.0
    size: int = 100
    tcp: TcpOptions = field(default_factory=TcpOptions)


class StreamFlow(TcpFlow):
    """A flow over one connection that sends updates and receives pushes until it is closed."""

    def __init__(self, options: StreamOptions, rng: random.Random) -> None:
        super().__init__(options.flow_id, options.local, options.service, options.tcp, rng)
        self._options = options
        self._unanswered: dict[str, float] = {}
        self._next_update = 0.0
        self._close_at: float | None = None
        self._closing = False

    def close(self, now: float) -> list[bytes]:
        """Send no more updates, and close the connection once all of them are answered."""
        self._closing = True
        self._close_if_all_answered(now)
        return self._connection.take_packets()

    def _send_first(self, now: float) -> None:
        self._close_at = now + self._options.duration if self._options.duration else None
        self._send_update(now)

    def _send_update(self, now: float) -> None:
        update_id = f"{self._options.flow_id}/{self.truth.updates_sent}"
        update = Request(update_id, RequestKind.UPDATE, size=self._options.size)
        self.truth.updates_sent += 1
        self._unanswered[update_id] = now
        self._next_update = now + self._options.interval
        self._connection.send(frame(update), now)

    def _handle_answer(self, answer: Answer, now: float) -> None:
        if answer.status is AnswerStatus.PUSH:
            self.truth.pushes += 1
            return
        if answer.part + 1 < answer.total:
            return
        sent_at = self._unanswered.pop(answer.request_id, None)
        if sent_at is None:
            return
        if answer.status is AnswerStatus.RUN:
            self.truth.updates_answered += 1
            self.truth.latencies.append(now - sent_at)
        else:
            self.truth.updates_refused += 1
        self._close_if_all_answered(now)

    def _close_if_all_answered(self, now: float) -> None:
        if self._closing and not self._unanswered and self.outcome is None:
            self._end(Outcome.ANSWERED, "", now)
            self._connection.close(now)

    def _run_due_actions(self, now: float) -> None:
        oldest = next(iter(self._unanswered.values()), now)
        if now >= oldest + self._options.answer_timeout_seconds:
            self._end_timed_out("updates unanswered", now)
            self._connection.abort()
            return
        if self._close_at is not None and now >= self._close_at:
            self._closing = True
            self._close_if_all_answered(now)
        elif not self._closing and now >= self._next_update:
            self._send_update(now)

    def _next_action_time(self) -> float | None:
        times = [
            sent_at + self._options.answer_timeout_seconds for sent_at in self._oldest_unanswered()
        ]
        if not self._closing:
            times.append(self._next_update)
            times += [self._close_at] if self._close_at is not None else []
        return min(times, default=None)

    def _oldest_unanswered(self) -> list[float]:
        return [next(iter(self._unanswered.values()))] if self._unanswered else []
