"""Messages between our processes: entry to replica, entry to entry."""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.verdicts import Reason, Verdict


class ProgramKey(Message, frozen=True):
    """Names a program; two accounts may use the same program id."""

    account: str
    program: str


class CallKey(Message, frozen=True):
    """Names a call; a resent call carries the same request id."""

    account: str
    program: str
    request_id: str

    @property
    def program_key(self) -> ProgramKey:
        """The program that made this call."""
        return ProgramKey(account=self.account, program=self.program)


class Usage(Message, frozen=True):
    """Tokens of one call as the engine counted them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Answer(Message, frozen=True):
    """A backend server's whole answer.

    Attributes:
        status: HTTP status code.
        content_type: value of the Content-Type header.
        body: the body; for a model call the JSON `chat.completion` object.
    """

    status: int
    content_type: str
    body: bytes


class Hello(Message, frozen=True):
    """First message on a stream: who connects."""

    process: str
    incarnation: str
    role: str
    address: str
    domain: str
    region: str


class Ping(Message, frozen=True):
    """Asks the other end to prove that the stream still carries data.

    Attributes:
        nonce: of this ping, or 0 where none is meant to be echoed.
        echo: the last nonce that the sender has got.
    """

    nonce: int = 0
    echo: int = 0


class GroupLeader(Message, frozen=True):
    """Says who leads a log group, as far as the sender knows.

    Attributes:
        leader: address of the leader, empty while there is none.
    """

    group: str
    term: int
    leader: str


class Begin(Message, frozen=True):
    """Asks the shard's leader to admit a call and grant it a server.

    Attributes:
        ask: correlates the reply.
        parent: id of the program that started this one, or empty.
        seq: place in the program counted from 1, or 0 for the next place.
        kind: `model` or `service`.
        target: name of the model or service.
        idempotent: whether the call may be dispatched more than once.
        deadline_ms: milliseconds the caller still waits.
        fingerprint: digest of the request's content.
        whole: whether `digests` cover the history from its start.
        digests: a digest for each message of the request.
        prompt_tokens: upper bound of the prompt's tokens.
        max_tokens: most tokens the caller wants generated.
        region: region of the entry that the caller is connected to.
        traceparent: W3C trace context of the caller's span.
        once: whether the caller named no program, so that none continues.
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
    """One incarnation of a backend server."""

    server: str
    incarnation: str
    address: str
    region: str = ""


class Granted(Message, frozen=True):
    """Allows one dispatch of a call.

    Attributes:
        attempt: id of this dispatch, unique for ever.
        dispatcher: address of the entry that shall dispatch; empty for the
            entry that asked.
        expires_ms: milliseconds within which the dispatch must begin, from
            when the entry sent its question plus `waited_ms`, on the entry's
            monotonic clock; after that the grant must be handed back. Counted
            from the receipt, a grant that lay unread in a stopped process
            would look fresh, and overtake the program's next call.
        waited_ms: milliseconds that the leader kept the question.
        max_tokens: most tokens that the budget allows.
        skip: how many of the request's messages the history already holds.
        history: stored messages (JSON) that go before the request's own; only
            filled where the request does not carry the whole history.
        until_ms: set by the receiver: when the grant expires on its own
            monotonic clock; 0 on the way.
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
        reason: what went wrong, where no answer came.
        answer: the whole answer, where one came.
        messages: JSON of the request's messages that are new to the history,
            then of the answer's message.
        crashed: whether the server's connection broke while it held the
            request, so that the request is suspect.
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
    """Asks an entry what became of an attempt whose own entry is gone.

    The entry asks the server and sends nothing else; a `Finish` follows.

    Attributes:
        deadline_ms: milliseconds that the entry may ask for, at most; the
            leader itself settles the call at its deadline.
    """

    key: CallKey
    attempt: str
    server: ServerRef
    deadline_ms: int


class Recall(Message, frozen=True):
    """Takes a grant back unless the entry has used it.

    The entry answers with a `Finish`: `NOT_RUN` where it never used the grant,
    and then refuses to use it later; `MAY_HAVE_RUN` where it used the grant
    and no longer knows the outcome. While the attempt is under way there is
    no answer; its own `Finish` comes.
    """

    key: CallKey
    attempt: str


class OrderRelease(Message, frozen=True):
    """Has an entry order a server to release the memory of programs.

    Attributes:
        group: the log group whose leader asks.
        programs: `ACCOUNT/PROGRAM`, as the engine knows them.
    """

    group: str
    server: ServerRef
    programs: list[str]


class ReleaseDone(Message, frozen=True):
    """The server confirmed the release.

    Attributes:
        incarnation: of the server that confirmed.
    """

    group: str
    server: str
    incarnation: str
    programs: list[str]


class Finished(Message, frozen=True):
    """The final answer of a call, durable in the shard's log."""

    ask: int
    key: CallKey
    attempt: str
    answer: Answer
    seq: int = 0
    usage: Usage = Usage()


class Refused(Message, frozen=True):
    """The final answer of a call that gets no backend server's answer.

    Attributes:
        retry_after_ms: when coming back helps, or 0 where it does not.
        detail: the field or message at fault, for a machine to read.
    """

    ask: int
    reason: Reason
    text: str
    verdict: Verdict
    retry_after_ms: int = 0
    detail: str = ""


class NotLeader(Message, frozen=True):
    """The replica asked does not lead the group."""

    ask: int
    group: str
    leader: str = ""


class GetProgram(Message, frozen=True):
    """Asks for a program's state."""

    ask: int
    key: ProgramKey


class ProgramInfo(Message, frozen=True):
    """A program's state."""

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
    """Ends a program; its engine memory is released."""

    ask: int
    key: ProgramKey


class ServerReport(Message, frozen=True):
    """What a backend server last said about itself.

    Attributes:
        server: stable name chosen by the server.
        incarnation: new at each start of the server's process.
        kind: `model` or `service`.
        serves: names of the models or services.
        capacity: requests it runs at once.
        cache_tokens: size of its prefix cache, 0 for plain services.
        running: requests it runs now, as of the report.
        waiting: requests in its queue, as of the report.
        leaving: whether it asks for no new work.
        honours_fencing: whether it refuses orders with an old fencing number.
        checks_sender: whether it checks who gives an order.
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
    """A batch of server reports from the entry that received them.

    Attributes:
        age_ms: for each report, its age when it was sent.
    """

    reports: list[ServerReport]
    age_ms: list[int]


class CacheEvent(Message, frozen=True):
    """A change of an engine's prefix cache.

    Attributes:
        seq: counted by the engine from 1 in each incarnation; a gap means that
            events were lost.
        kind: `held` or `evicted`.
        program: `ACCOUNT/PROGRAM` whose prefix changed.
        tokens: length of the prefix that is held now.
    """

    seq: int
    kind: str
    program: str
    tokens: int = 0


class CacheEvents(Message, frozen=True):
    """Cache events of one engine, in order, some perhaps missing."""

    server: str
    incarnation: str
    events: list[CacheEvent]


class Dispatch(Message, frozen=True):
    """Asks another entry to dispatch a granted call.

    Attributes:
        base: digest chain over the messages left out of `body`, which the
            receiver may hold; empty where `body` is whole.
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
    """Answers a `Dispatch` whose `base` the receiver does not hold."""

    ask: int


class Chunk(Message, frozen=True):
    """Part of an answer that streams back to the caller's entry."""

    ask: int
    data: bytes


class Dispatched(Message, frozen=True):
    """Ends a `Dispatch`."""

    ask: int
    finish: Finish
