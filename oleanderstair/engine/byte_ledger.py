"""Counts the bytes that an instance buffers for callers and targets.

``domain.byte_budgets`` decides what fits. An answer that doesn't fit is not
read on from its target until it does, unless one has to give way.
"""

import asyncio
import typing

from oleanderstair import clock
from oleanderstair.domain import byte_budgets, connection_budgets

_RATE_WINDOW_S: typing.Final = 1
"""The time over which the rate of released bytes is measured."""

_MIN_SCAN_INTERVAL_S: typing.Final = 0.1
"""The shortest time between two searches for readers that have stopped, and
between two for unfinished requests of which the first was in vain."""

OnRoom: typing.TypeAlias = typing.Callable[[], None]
OnCut: typing.TypeAlias = typing.Callable[[byte_budgets.Reader], None]
"""Handle that a reader was cut off."""


class AnswerReader(typing.Protocol):
    """A connection of a caller that may have unread bytes of answers."""

    def measure_reading(self) -> byte_budgets.Reader:
        """Return how much is unread and for how long nothing was read."""

    def cut_off(self) -> None:
        """Reset the connection and drop its unread bytes."""


class RequestSender(typing.Protocol):
    """A connection with a request that is not complete, or waits unparsed."""

    def measure_sending(self) -> byte_budgets.Sender:
        """Return what is held of it and for how long nothing has come."""

    def refuse_sending(self, refusal: 'Refusal') -> None:
        """Refuse the request and hold nothing of it any more."""


class Refusal(typing.NamedTuple):
    """Why the bytes of a call were not accepted."""

    retry_after_ms: clock.Millis
    detail: str


class Holding:
    """The bytes that one call holds: its body and its answers.

    Room for the expected answer is held from the arrival of the call. Attempts
    read their answers side by side, each as an ``AnswerRead``.
    """

    def __init__(
        self, ledger: 'ByteLedger', holder: object, service: str = ''
    ) -> None:
        """Hold nothing yet, for ``holder``.

        A call of ``service``, if given, may displace unfinished answers.
        """
        self.holder = holder
        self.service = service
        self.body_bytes = 0
        self.expected_bytes = 0
        self._read_bytes = 0
        self._ledger = ledger
        self._is_released = False
        self._refusal: Refusal | None = None

    @property
    def answer_bytes(self) -> int:
        """Return the bytes of all answers, or those of the expected one."""
        return max(self.expected_bytes, self._read_bytes)

    @property
    def size(self) -> int:
        """Return the bytes of body and answers together."""
        return self.body_bytes + self.answer_bytes

    def grow_body(self, size: int) -> bool:
        """Hold a body of ``size``; return False if it doesn't fit.

        None does after ``revoke``.
        """
        if self._refusal is not None:
            return False
        more_bytes = max(size - self.body_bytes, 0)
        if not self._ledger.take(self, more_bytes):
            return False
        self.body_bytes += more_bytes
        return True

    def add_body(self, size: int) -> None:
        """Hold a body that is in memory already, also if it doesn't fit."""
        self._ledger.add(self.holder, size)
        self.body_bytes += size

    def begin_read(self, service: str = '') -> 'AnswerRead':
        """Hold the answer of one more attempt, at a target of ``service``."""
        return AnswerRead(self._ledger, self, service)

    def grow_reads(self, more_bytes: int, read: 'AnswerRead') -> bool:
        """Hold more of an answer; return False if it doesn't fit.

        After ``release``, an attempt that is being cancelled holds nothing.
        """
        if self._is_released:
            return True
        read_bytes = self._read_bytes + more_bytes
        missing_bytes = max(read_bytes - self.answer_bytes, 0)
        if not self._ledger.take(self, missing_bytes, read):
            return False
        self._read_bytes = read_bytes
        return True

    def add_to_reads(self, more_bytes: int) -> None:
        """Hold bytes of an answer that are there already, or fewer of them."""
        if self._is_released:
            return
        before_bytes = self.answer_bytes
        self._read_bytes += more_bytes
        self._count_change(before_bytes)

    def add_complete_answer(self, size: int) -> None:
        """Hold an answer that has been read already, also if it doesn't fit."""
        if self._is_released:
            return
        before_bytes = self.answer_bytes
        self.expected_bytes = max(self.expected_bytes, size)
        self._count_change(before_bytes)

    def refuse_more(self) -> Refusal:
        """Return the refusal of a call whose body may not grow."""
        return self._refusal or self._ledger.refuse(self, self.size + 1)

    def revoke(self, refusal: Refusal) -> None:
        """Hold nothing any more, as the call is refused before it has run."""
        self._refusal = refusal
        self.release()

    def release(self) -> None:
        """Hold nothing any more."""
        size = self.size
        self._is_released = True
        self.body_bytes = 0
        self.expected_bytes = 0
        self._read_bytes = 0
        self._ledger.release(self.holder, size)

    def _count_change(self, before_bytes: int) -> None:
        more_bytes = self.answer_bytes - before_bytes
        if more_bytes >= 0:
            self._ledger.add(self.holder, more_bytes)
        else:
            self._ledger.release(self.holder, -more_bytes)


class AnswerRead:
    """The answer that one attempt reads, counted in the holding of its call.

    ``has_length`` is true once the length of the answer is known. While it is
    unfinished, it may be displaced by others: ``is_displaced`` is true then, it
    holds nothing any more, and ``on_displaced`` is called soon.
    """

    def __init__(
        self, ledger: 'ByteLedger', holding: Holding, service: str
    ) -> None:
        """Hold nothing yet in ``holding``."""
        self.holding = holding
        self.service = service
        self.size = 0
        self.has_length = False
        self.is_displaced = False
        self.on_displaced: OnRoom | None = None
        self._ledger = ledger

    def grow(self, size: int) -> bool:
        """Hold an answer of ``size``; return False if it doesn't fit.

        It doesn't after it was displaced, which this may cause.
        """
        more_bytes = size - self.size
        if self.is_displaced or more_bytes <= 0:
            return not self.is_displaced
        if not self.holding.grow_reads(more_bytes, self):
            return False
        self.size = size
        self._ledger.note_unfinished_read(self)
        return True

    def add(self, size: int) -> None:
        """Hold ``size`` bytes that are there already, also if they don't fit.

        The answer is unfinished.
        """
        self.holding.add_to_reads(size - self.size)
        self.size = size
        self._ledger.note_unfinished_read(self)

    def complete(self, size: int) -> None:
        """Hold an answer that has been read, also if it doesn't fit."""
        self._ledger.forget_read(self)
        self.holding.add_to_reads(size - self.size)
        self.size = size

    def wait_for_room(self, size: int, on_room: OnRoom) -> OnRoom:
        """Call ``on_room`` once an answer of ``size`` is held.

        Return a function that ends the wait.
        """
        return self._ledger.wait(self, size, on_room)

    def displace(self) -> None:
        """Hold nothing any more, as others need the room."""
        self.is_displaced = True
        self.end()
        if self.on_displaced is not None:
            asyncio.get_running_loop().call_soon(self.on_displaced)

    def end(self) -> None:
        """Hold nothing any more of an answer that is of no use."""
        self.complete(0)


class _Claim(typing.NamedTuple):
    """A wish for more bytes by a holder that has some.

    ``beside_bytes`` are those of its other calls. A claim of a ``service`` may
    displace unfinished answers; ``is_growing`` as in ``AnswerClaim``.
    """

    holder: object
    beside_bytes: int
    held_bytes: int
    more_bytes: int
    service: str = ''
    is_growing: bool = False

    @property
    def size(self) -> int:
        """Return what would be held."""
        return self.held_bytes + self.more_bytes


class _Waiter(typing.NamedTuple):
    read: AnswerRead
    size: int
    on_room: OnRoom


class ByteLedger:
    """The bytes that are held, by holder and by target."""

    def __init__(self, budget: byte_budgets.Budget) -> None:
        """Count nothing yet, within ``budget``."""
        self.budget = budget
        self.on_cut: OnCut | None = None
        self.used_bytes = 0
        self.connection_count = 0
        self.sent_by_target: dict[str, int] = {}
        self.unread_by_reader: dict[AnswerReader, int] = {}
        self.input_by_sender: dict[RequestSender, int] = {}
        # A dict, as it has an order that doesn't change.
        self.unfinished: dict[RequestSender, None] = {}
        self.unfinished_reads: dict[AnswerRead, None] = {}
        self._used_by_holder: dict[object, int] = {}
        self._waiters: list[_Waiter] = []
        self._is_waking = False
        self._scanned_at_s = -_MIN_SCAN_INTERVAL_S
        self._failed_scan_at_s = -_MIN_SCAN_INTERVAL_S
        self._failed_scan_size = 0
        self._window_started_s: float = 0
        self._window_bytes = 0
        self._released_per_s: float = 0

    @property
    def waiting_answers(self) -> int:
        """Return how many answers are not read on for lack of room."""
        return len(self._waiters)

    # Connections

    def add_connection(self) -> None:
        """Count a connection of a client."""
        self.connection_count += 1

    def remove_connection(self) -> None:
        """Stop counting a connection."""
        self.connection_count -= 1
        self.wake_waiters()

    # Calls

    def open(
        self,
        holder: object,
        body_bytes: int,
        expected_bytes: int,
        service: str = '',
    ) -> Holding | Refusal:
        """Hold a body, and an answer of the expected size, or refuse them.

        Unless its body is large, a call of ``service``, if given, may displace
        unfinished answers.
        """
        is_small = body_bytes <= byte_budgets.SMALL_BYTES
        holding = Holding(self, holder, service if is_small else '')
        size = body_bytes + expected_bytes
        if not self.take(holding, size):
            return self.refuse(holding, size)
        holding.body_bytes = body_bytes
        holding.expected_bytes = expected_bytes
        return holding

    def refuse(self, holding: Holding, size: int) -> Refusal:
        """Return the refusal of a call that would hold ``size`` in all."""
        return self._refuse(self._claim_of(holding, size - holding.size))

    def take(
        self,
        holding: Holding,
        more_bytes: int,
        read: AnswerRead | None = None,
    ) -> bool:
        """Count more bytes for a call; return False if they don't fit.

        Readers that have stopped are cut off first if that makes room, then
        requests that are not complete are refused, then unfinished answers
        give way. That may be ``read``, whose answer the bytes belong to.
        """
        claim = self._claim_of(holding, more_bytes)
        if read is not None:
            claim = claim._replace(
                service=read.service,
                is_growing=read.size > 0 and not read.has_length,
            )
        is_made = self._make_room(claim)
        if not is_made or (read is not None and read.is_displaced):
            return False
        self.add(holding.holder, more_bytes)
        return True

    def add(self, holder: object, size: int) -> None:
        """Count bytes that are in memory already."""
        self.used_bytes += size
        used_bytes = self._used_by_holder.get(holder, 0)
        if used_bytes + size:
            self._used_by_holder[holder] = used_bytes + size

    def release(self, holder: object, size: int) -> None:
        """Stop counting bytes, and let answers that wait use their room."""
        if not size:
            return
        self._subtract(holder, size)
        self.wake_waiters()

    def wait(self, read: AnswerRead, size: int, on_room: OnRoom) -> OnRoom:
        """Call ``on_room`` once an answer fits; return what ends the wait."""
        waiter = _Waiter(read, size, on_room)
        self._waiters.append(waiter)

        def stop() -> None:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

        return stop

    def wake_waiters(self) -> None:
        """Let the answers that fit now be read on, the smallest first."""
        if self._is_waking or not self._waiters:
            return
        self._is_waking = True
        try:
            for waiter in sorted(self._waiters, key=_size_of):
                is_waiting = waiter in self._waiters
                if is_waiting and waiter.read.grow(waiter.size):
                    self._waiters.remove(waiter)
                    waiter.on_room()
        finally:
            self._is_waking = False

    def note_unfinished_read(self, read: AnswerRead) -> None:
        """Store that an answer is being read, unless it is small."""
        if read.size > byte_budgets.SMALL_BYTES:
            self.unfinished_reads[read] = None

    def forget_read(self, read: AnswerRead) -> None:
        """Store that an answer is not read any more."""
        self.unfinished_reads.pop(read, None)

    # Senders

    def hold_input(self, sender: RequestSender, size: int) -> Refusal | None:
        """Count the head and the unparsed bytes of a connection anew.

        If they don't fit, nothing changes and the refusal is returned.
        """
        before_bytes = self.input_by_sender.get(sender, 0)
        if size > before_bytes:
            claim = _Claim(sender, 0, before_bytes, size - before_bytes)
            if not self._make_room(claim):
                return self._refuse(claim)
        self._set_input(sender, size)
        return None

    def release_input(self, sender: RequestSender, size: int = 0) -> None:
        """Count no more than ``size`` for the input of a connection."""
        before_bytes = self.input_by_sender.get(sender, 0)
        if before_bytes > size:
            self._set_input(sender, size)
            self._measure_rate(before_bytes - size)
            self.wake_waiters()

    def note_unfinished(self, sender: RequestSender, is_waiting: bool) -> None:
        """Store whether a connection has a request that is not complete."""
        if is_waiting:
            self.unfinished[sender] = None
        else:
            self.unfinished.pop(sender, None)

    def forget_sender(self, sender: RequestSender) -> None:
        """Count nothing for the input of a connection that has ended."""
        self.note_unfinished(sender, is_waiting=False)
        self.release_input(sender)

    # Targets

    def may_send(self, target_id: str, size: int) -> bool:
        """Return whether a body may be sent to a target now."""
        sent_bytes = self.sent_by_target.get(target_id, 0)
        return byte_budgets.may_send(self.budget, sent_bytes, size)

    def begin_send(self, target_id: str, size: int) -> bool:
        """Count a body sent to a target; return False if it doesn't fit."""
        if not self.may_send(target_id, size):
            return False
        if size:
            sent_bytes = self.sent_by_target.get(target_id, 0)
            self.sent_by_target[target_id] = sent_bytes + size
        return True

    def end_send(self, target_id: str, size: int) -> None:
        """Stop counting a body sent to a target."""
        remaining_bytes = self.sent_by_target.get(target_id, 0) - size
        if remaining_bytes > 0:
            self.sent_by_target[target_id] = remaining_bytes
        else:
            self.sent_by_target.pop(target_id, None)

    # Readers

    def set_unread(self, reader: AnswerReader, size: int) -> None:
        """Count the unread bytes of a connection anew."""
        before_bytes = self.unread_by_reader.get(reader, 0)
        if size:
            self.unread_by_reader[reader] = size
        else:
            self.unread_by_reader.pop(reader, None)
        if size >= before_bytes:
            self.add(reader, size - before_bytes)
        else:
            self._subtract(reader, before_bytes - size)
        self.wake_waiters()

    def _make_room(self, claim: _Claim) -> bool:
        """Return whether a claim fits, if need be after others have ended."""
        if self._fits(claim):
            return True
        self._cut_stopped_readers(claim)
        if not self._fits(claim):
            self._refuse_senders(claim)
        if claim.service and self._is_within_share(claim):
            self._displace_answers(claim)
        return self._fits(claim)

    def _cut_stopped_readers(self, claim: _Claim) -> None:
        now_s = _now_s()
        if now_s - self._scanned_at_s < _MIN_SCAN_INTERVAL_S:
            return
        self._scanned_at_s = now_s
        readers = list(self.unread_by_reader)
        measured = [reader.measure_reading() for reader in readers]
        while not self._fits(claim):
            index = byte_budgets.choose_cut(measured)
            if index is None:
                return
            self._cut_off(readers[index], measured[index])
            measured[index] = byte_budgets.Reader(0, 0)

    def _refuse_senders(self, claim: _Claim) -> None:
        """Refuse unfinished requests if that makes room.

        Where it has just not been enough, it isn't for a larger call either.
        """
        now_s = _now_s()
        is_recent = now_s - self._failed_scan_at_s < _MIN_SCAN_INTERVAL_S
        if is_recent and claim.size >= self._failed_scan_size:
            return
        senders = [
            sender for sender in self.unfinished if sender is not claim.holder
        ]
        measured = [sender.measure_sending() for sender in senders]
        chosen = byte_budgets.choose_refused(
            measured, claim.size, self._excess_bytes(claim)
        )
        if not chosen:
            self._failed_scan_at_s = now_s
            self._failed_scan_size = claim.size
        for index in chosen:
            held_bytes = measured[index].held_bytes
            senders[index].refuse_sending(
                self._refuse(_Claim(senders[index], 0, 0, held_bytes))
            )

    def _displace_answers(self, claim: _Claim) -> None:
        """Let the largest unfinished answers give way until a claim fits."""
        was_waking = self._is_waking
        # The room that they leave is for the claim.
        self._is_waking = True
        try:
            while self._excess_bytes(claim) > 0:
                if not self._displace_largest(claim):
                    break
        finally:
            self._is_waking = was_waking

    def _displace_largest(self, claim: _Claim) -> bool:
        reads = list(self.unfinished_reads)
        index = byte_budgets.choose_displaced(
            self.budget,
            [
                byte_budgets.UnfinishedAnswer(read.size, read.service)
                for read in reads
            ],
            byte_budgets.AnswerClaim(
                claim.size, claim.service, claim.is_growing
            ),
        )
        if index is not None:
            reads[index].displace()
        return index is not None

    def _cut_off(
        self, reader: AnswerReader, measured: byte_budgets.Reader
    ) -> None:
        unread_bytes = self.unread_by_reader.pop(reader, 0)
        self._subtract(reader, unread_bytes)
        reader.cut_off()
        if self.on_cut is not None:
            self.on_cut(measured)

    def _refuse(self, claim: _Claim) -> Refusal:
        if not byte_budgets.may_ever_hold(self.budget, claim.size):
            return Refusal(
                byte_budgets.MAX_RETRY_MS,
                'the request is too large for the memory of this instance;'
                ' use another address',
            )
        retry_after_ms = byte_budgets.retry_after_ms(
            self.budget,
            self._usage_beside(claim),
            claim.more_bytes,
            self._released_per_s,
        )
        return Refusal(
            retry_after_ms, 'this instance has no memory for the request now'
        )

    def _fits(self, claim: _Claim) -> bool:
        return byte_budgets.may_hold(
            self.budget,
            self._usage_beside(claim),
            claim.held_bytes,
            claim.more_bytes,
        )

    def _is_within_share(self, claim: _Claim) -> bool:
        return byte_budgets.is_within_share(
            self.budget, self._usage_beside(claim), claim.size
        )

    def _excess_bytes(self, claim: _Claim) -> int:
        return byte_budgets.excess_bytes_of(
            self.budget,
            self._usage_beside(claim),
            claim.size,
            claim.more_bytes,
        )

    def _usage_beside(self, claim: _Claim) -> byte_budgets.Usage:
        connection_bytes = (
            self.connection_count * connection_budgets.CONNECTION_BYTES
        )
        return byte_budgets.Usage(
            self.used_bytes + connection_bytes, claim.beside_bytes
        )

    def _claim_of(self, holding: Holding, more_bytes: int) -> _Claim:
        of_holder = self._used_by_holder.get(holding.holder, 0)
        return _Claim(
            holding.holder,
            of_holder - holding.size,
            holding.size,
            more_bytes,
            holding.service,
        )

    def _set_input(self, sender: RequestSender, size: int) -> None:
        self.used_bytes += size - self.input_by_sender.get(sender, 0)
        if size:
            self.input_by_sender[sender] = size
        else:
            self.input_by_sender.pop(sender, None)

    def _subtract(self, holder: object, size: int) -> None:
        self.used_bytes -= size
        remaining_bytes = self._used_by_holder.get(holder, 0) - size
        if remaining_bytes > 0:
            self._used_by_holder[holder] = remaining_bytes
        else:
            self._used_by_holder.pop(holder, None)
        self._measure_rate(size)

    def _measure_rate(self, size: int) -> None:
        now_s = _now_s()
        elapsed_s = now_s - self._window_started_s
        if elapsed_s >= _RATE_WINDOW_S:
            self._released_per_s = self._window_bytes / elapsed_s
            self._window_started_s = now_s
            self._window_bytes = 0
        self._window_bytes += size


def create(budget: byte_budgets.Budget | None) -> ByteLedger | None:
    """Create the ledger of a budget, or None without a limit."""
    return None if budget is None else ByteLedger(budget)


def _size_of(waiter: _Waiter) -> int:
    return waiter.size


def _now_s() -> float:
    return asyncio.get_running_loop().time()
