"""Messages between processes: entry to replica and entry to entry."""

from __future__ import annotations

from typing import ClassVar

from catkinpin.codec import Message
from catkinpin.verdicts import Reason, Verdict


class ProgramKey(Message, frozen=True):
    """Identifies a program; two accounts may use the same program id."""

    account: str
    program: str


class CallKey(Message, frozen=True):
    """Identifies a call; a resent call has the same request id."""

    account: str
    program: str
    request_id: str

    @property
    def program_key(self) -> ProgramKey:
        """The program that made this call."""
        return ProgramKey(account=self.account, program=self.program)


class Usage(Message, frozen=True):
    """Tokens of a call as the engine counted them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Answer(Message, frozen=True):
    """A backend server's complete answer.

    Attributes:
        status: HTTP status code.
        content_type: value of the Content-Type header.
        body: the body; for a model call the JSON `chat.completion` object.
    """

    status: int
    content_type: str
    body: bytes


class Hello(Message, frozen=True):
    """First message on a stream; identifies the connecting process.

    Attributes:
        subscribes: whether a gateway subscribes to the keeper whose feed of
            changes it wants. Keepers send no feed to it until it does.
    """

    process: str
    incarnation: str
    role: str
    address: str
    domain: str
    region: str
    subscribes: bool = False


class Ping(Message, frozen=True):
    """Checks that the stream still carries data in both directions.

    Attributes:
        nonce: nonce that the other end shall echo; 0 for none.
        echo: last nonce that the sender has received and not echoed yet; 0
            for none.
    """

    nonce: int = 0
    echo: int = 0


class GroupLeader(Message, frozen=True):
    """Reports the leader of a log group that the sender knows.

    Attributes:
        leader: address of the leader; empty if there is none.
    """

    group: str
    term: int
    leader: str


class Begin(Message, frozen=True):
    """Asks the shard's leader to admit a call and grant it a server.

    Attributes:
        ask: number of the request; the reply has the same.
        parent: id of the program that started this one, or empty.
        seq: position of the call in the program, counted from 1; 0 for the
            next position.
        kind: `model` or `service`.
        target: name of the model or service.
        idempotent: whether the call may be dispatched more than once.
        deadline_ms: time for which the caller still waits for the answer.
        fingerprint: digest of the request's content.
        whole: whether `digests` cover the history from its start.
        digests: a digest for each message of the request.
        prompt_tokens: upper bound of the prompt's tokens.
        max_tokens: maximum number of tokens to generate.
        region: region of the entry that the caller is connected to.
        traceparent: W3C trace context of the caller's span.
        once: whether the caller named no program; the call then gets a program
            of its own, which ends after it.
    """

    ask: int
    key: CallKey
    kind: str
    target: str
    parent: str = ""
    seq: int = 0
    idempotent: bool = False
    deadline_ms: int = 0
    fingerprint: bytes = b""
    whole: bool = True
    digests: list[bytes] = []
    prompt_tokens: int = 0
    max_tokens: int = 0
    region: str = ""
    traceparent: str = ""
    once: bool = False


class ServerRef(Message, frozen=True):
    """An incarnation of a backend server."""

    server: str
    incarnation: str
    address: str
    region: str = ""


class Granted(Message, frozen=True):
    """Allows one dispatch of a call.

    Attributes:
        attempt: id of this dispatch; never used again.
        dispatcher: address of the entry that dispatches the call; empty for
            the entry that asked.
        expires_ms: time within which the dispatch must begin, counted from
            when the entry sent its `Begin` plus `waited_ms`, on the entry's
            monotonic clock. After that the entry must return the grant. If
            the time counted from the receipt, a grant that stayed unread in
            a stopped process would look new and overtake the program's next
            call.
        waited_ms: time for which the leader kept the `Begin` waiting.
        max_tokens: maximum number of tokens that the budget allows.
        skip: number of the request's messages that the history already holds.
        history: stored messages (JSON) to put before the request's own; empty
            if the request contains the whole history.
        until_ms: time on the receiver's monotonic clock when the grant
            expires; the receiver sets it, and it is 0 when sent.
    """

    ask: int
    key: CallKey
    attempt: str
    server: ServerRef
    dispatcher: str = ""
    expires_ms: int = 0
    waited_ms: int = 0
    max_tokens: int = 0
    priority: int = 0
    seq: int = 0
    skip: int = 0
    history: list[bytes] = []
    until_ms: int = 0


class Finish(Message, frozen=True):
    """Reports the outcome of a dispatch.

    Attributes:
        verdict: whether the request may have run.
        reason: why no answer came.
        answer: the complete answer; None if there is none.
        messages: JSON of the request's messages that the history lacks,
            followed by the answer's message.
        crashed: whether the connection broke while the server was processing
            the request, which makes the request suspect of crashing servers.
    """

    ask: int
    key: CallKey
    attempt: str
    verdict: Verdict
    reason: Reason | None = None
    text: str = ""
    answer: Answer | None = None
    usage: Usage = Usage()
    messages: list[bytes] = []
    crashed: bool = False


class Recover(Message, frozen=True):
    """Asks an entry for the outcome of an attempt whose own entry is gone.

    The entry queries the server, does not dispatch the request again, and
    answers with a `Finish`.

    Attributes:
        deadline_ms: maximum time for which the entry may query the server;
            the leader itself ends the call at its deadline.
    """

    key: CallKey
    attempt: str
    server: ServerRef
    deadline_ms: int


class Recall(Message, frozen=True):
    """Revokes a grant unless the entry has used it.

    The entry answers with a `Finish`: `NOT_RUN` if it has not used the grant,
    which it then never does, or `MAY_HAVE_RUN` if it has used the grant and
    no longer knows the outcome. While the attempt is in progress it does not
    answer; the `Finish` of the attempt follows.
    """

    key: CallKey
    attempt: str


class OrderRelease(Message, frozen=True):
    """Asks an entry to order a server to release the memory of programs.

    Attributes:
        group: log group whose leader asks.
        programs: programs as `ACCOUNT/PROGRAM`, the names the engine uses.
    """

    group: str
    server: ServerRef
    programs: list[str]


class ReleaseDone(Message, frozen=True):
    """Reports that a server has confirmed the release.

    Attributes:
        incarnation: incarnation of the server that confirmed.
    """

    group: str
    server: str
    incarnation: str
    programs: list[str]


class Finished(Message, frozen=True):
    """Final answer of a call, stored in the shard's log."""

    ask: int
    key: CallKey
    attempt: str
    answer: Answer
    seq: int = 0
    usage: Usage = Usage()


class Refused(Message, frozen=True):
    """Final answer of a call that has no answer of a backend server.

    Attributes:
        retry_after_ms: time after which a retry may succeed; 0 if it can't.
        detail: machine-readable name of the wrong field or message.
    """

    ask: int
    reason: Reason
    text: str
    verdict: Verdict
    retry_after_ms: int = 0
    detail: str = ""


class NotLeader(Message, frozen=True):
    """Answers that the replica does not lead the group.

    Attributes:
        leader: address of the leader; empty if it is not known.
    """

    ask: int
    group: str
    leader: str = ""


class GetProgram(Message, frozen=True):
    """Asks for the state of a program; `ProgramInfo` answers."""

    ask: int
    key: ProgramKey


class ProgramInfo(Message, frozen=True):
    """State of a program.

    Attributes:
        next_seq: position that the next call gets.
        reserved_tokens: tokens reserved for attempts without a known outcome.
    """

    ask: int
    key: ProgramKey
    next_seq: int
    turns: int
    ended: bool
    spent_tokens: int
    reserved_tokens: int
    budget_tokens: int
    parent: str = ""


class EndProgram(Message, frozen=True):
    """Asks to end a program and to release its memory in the engines."""

    ask: int
    key: ProgramKey


class ServerReport(Message, frozen=True):
    """Last report of a backend server about itself.

    Attributes:
        server: stable name that the server chose.
        incarnation: id that changes at each start of the server's process.
        kind: `model` or `service`.
        serves: names of the models or services.
        capacity: number of requests it can run at the same time.
        cache_tokens: size of its prefix cache in tokens; 0 for other kinds.
        running: number of requests it was running.
        waiting: number of requests in its queue.
        leaving: whether it asks for no new work.
        honours_fencing: whether it refuses orders with an old fencing token.
        checks_sender: whether it verifies the identity of an order's sender.
        held: ids of programs whose prefixes its cache holds.
    """

    server: str
    incarnation: str
    address: str
    kind: str
    serves: list[str]
    domain: str
    region: str
    capacity: int = 1
    cache_tokens: int = 0
    running: int = 0
    waiting: int = 0
    leaving: bool = False
    honours_fencing: bool = False
    checks_sender: bool = False
    held: list[str] = []


class Reports(Message, frozen=True):
    """Server reports from the entry that received them.

    Attributes:
        age_ms: age of each report when this message was sent.
    """

    has_checked_parts: ClassVar[bool] = True

    reports: list[ServerReport]
    age_ms: list[int]


class CacheEvent(Message, frozen=True):
    """A change of an engine's prefix cache.

    Attributes:
        seq: number of the event, counted from 1 in each incarnation of the
            engine; a gap means that events were lost.
        kind: `held` or `evicted`.
        program: `ACCOUNT/PROGRAM` whose prefix changed.
        tokens: length of the prefix that the cache holds now.
    """

    seq: int
    kind: str
    program: str
    tokens: int = 0


class CacheEvents(Message, frozen=True):
    """Cache events of an engine in order; some may be missing."""

    server: str
    incarnation: str
    events: list[CacheEvent]


class Dispatch(Message, frozen=True):
    """Asks another entry to dispatch a granted call.

    Attributes:
        base: digest chain over the messages omitted from `body`, which the
            receiver may hold; empty if `body` is complete.
        head: digest chain over all messages of the prompt.
    """

    ask: int
    grant: Granted
    kind: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    traceparent: str = ""
    base: bytes = b""
    head: bytes = b""


class NeedWhole(Message, frozen=True):
    """Asks for the complete `body` of a `Dispatch` with an unknown `base`."""

    ask: int


class Chunk(Message, frozen=True):
    """Part of an answer that is streamed to the caller's entry."""

    ask: int
    data: bytes


class Dispatched(Message, frozen=True):
    """Reports the outcome of a `Dispatch`."""

    ask: int
    finish: Finish
