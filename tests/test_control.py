"""Core of the control group: changes, leases, revisions, snapshots."""

from __future__ import annotations

import random
from typing import Any

from catkinpin import configuration
from catkinpin.adapters.entry import configured
from catkinpin.core.operations import changes, control, leader, snapshot
from catkinpin.core.operations import deployments as items
from catkinpin.core.operations.leases import LEASE_MS, MAX_CLOCK_DRIFT_MS
from catkinpin.exceptions import BadRequestError, StorageError
from tests import base


def account(name: str, key: str = "key") -> items.Account:
    """Returns an account."""
    digest = configuration.key_digest(f"{name} {key}")
    return items.Account(name=name, key_sha256=digest)


def config_change(
    request_id: str, revision: int, *upserts: items.Item, **fields: Any
) -> changes.ConfigChanged:
    """Returns a change with a digest of its content."""
    fields.setdefault("at_ms", 0)
    fields.setdefault("operator", "ana")
    digest = repr((upserts, fields["operator"], revision)).encode()
    return changes.ConfigChanged(
        request_id=request_id,
        base_revision=revision,
        upserts=list(upserts),
        content_digest=digest,
        **fields,
    )


class ChangesTest(base.TestCase):
    """Concurrent and resent changes of operators."""

    def test_one_of_two_concurrent_changes_wins(self) -> None:
        """Guards against a lost update when two operators change one revision.

        The first change is accepted. The second one is refused and has no
        effect; its result names the operator, the request and the items of
        the first one.
        """
        state = control.ControlState()
        state.apply(1, config_change("a", 0, account("ruegg")))
        first = state.apply(2, config_change("b", 1, account("kunci")))
        second = state.apply(
            3, config_change("c", 1, account("other"), operator="ben")
        )
        assert isinstance(first, control.ChangeResult)
        assert isinstance(second, control.ChangeResult)
        self.assertEqual((True, 2), (first.accepted, first.revision))
        self.assertEqual(
            (False, 2, "ana", "b", ("account kunci",)),
            (
                second.accepted,
                second.revision,
                second.operator,
                second.request_id,
                second.changed,
            ),
        )
        self.assertNotIn("other", state.cfg.accounts)

    def test_a_resend_gets_the_first_answer(self) -> None:
        """Guards against a second application of a change that is resent.

        The answer to the change is lost. A resend gets the first answer, also
        after 20,000 other changes. After a day the answer is dropped, and a
        resend is refused because its base revision is out of date.
        """
        state = control.ControlState()
        first = state.apply(1, config_change("a", 0, account("ruegg")))
        for number in range(20_000):
            state.apply(
                2, config_change(f"x{number}", number + 1, account("kunci"))
            )
        again = state.apply(3, config_change("a", 0, account("ruegg")))
        self.assertEqual(first, again)
        late_resend = config_change(
            "a", 0, account("ruegg"), at_ms=control.RESULT_RETENTION_MS + 1
        )
        result = state.apply(4, late_resend)
        assert isinstance(result, control.ChangeResult)
        self.assertFalse(result.accepted)
        self.assertEqual(20_001, state.revision)

    def test_a_request_id_used_twice_is_told_apart(self) -> None:
        """Guards against an answer that belongs to another change.

        Two operators use the same request id for different changes. The
        second one is refused and marked as reusing the id.
        """
        state = control.ControlState()
        state.apply(1, config_change("a", 0, account("ruegg")))
        other = state.apply(
            2, config_change("a", 0, account("kunci"), operator="b")
        )
        assert isinstance(other, control.ChangeResult)
        self.assertEqual((False, True), (other.accepted, other.reused))
        self.assertNotIn("kunci", state.cfg.accounts)

    def test_no_revision_goes_back_whatever_is_lost(self) -> None:
        """Guards against processes that go back to an older revision.

        Processes miss updates, get them late or twice, or restart. Their
        revision never decreases, and the latest update gives each of them the
        current configuration. Replicas that replay the log or restore a
        snapshot have the same configuration.
        """
        rng = random.Random(4)
        state = control.ControlState()
        replayed = control.ControlState()
        receivers = [configured.ActiveConfiguration() for _ in range(4)]
        sent_updates: list[changes.ConfigUpdate] = []
        for step in range(400):
            names = [f"a{rng.randrange(30)}" for _ in range(2)]
            record = config_change(
                f"r{step}",
                state.revision,
                account(names[0], str(step)),
                removes=[items.ItemKey(kind="account", name=names[1])],
            )
            if names[0] == names[1]:
                continue
            state.apply(step, record)
            replayed.apply(step, record)
            if rng.random() < 0.1:
                state = snapshot.decode_state(snapshot.encode_state(state))
            for receiver in receivers:
                sent_updates.append(state.update_since(receiver.revision))
                update = rng.choice(sent_updates[-40:])
                before = receiver.revision
                receiver.apply_update(update)
                self.assertGreaterEqual(receiver.revision, before)
                if rng.random() < 0.02:
                    receiver.__init__()  # type: ignore[misc]
        self.assertEqual(replayed.cfg.accounts, state.cfg.accounts)
        for receiver in receivers:
            receiver.apply_update(state.update_since(receiver.revision))
            assert receiver.configuration is not None
            self.assertEqual(state.revision, receiver.revision)
            self.assertEqual(
                state.cfg.accounts, receiver.configuration.accounts
            )

    def test_a_snapshot_of_another_format_is_refused(self) -> None:
        """Guards against a start from a snapshot that can't be decoded.

        The snapshot has an unknown format version, or is incomplete.
        """
        data = snapshot.encode_state(control.ControlState())
        self.assertRaises(StorageError, snapshot.decode_state, b"\x09" + data)
        self.assertRaises(StorageError, snapshot.decode_state, data[:-3])


class LeasesTest(base.TestCase):
    """Leases to serve under a revision."""

    def setUp(self) -> None:
        super().setUp()
        self.state = control.ControlState()
        self.state.apply(1, config_change("a", 0, account("ruegg")))
        self.leader = self.elect(0)
        self.entry = changes.ProcessInfo(
            process="entry-1", incarnation="i1", role="entry"
        )

    def elect(self, now_ms: int) -> leader.ControlLeader:
        """Returns a new leader."""
        return leader.ControlLeader(self.state, now_ms, self.fail)

    def renew(self, revision: int, now_ms: int) -> changes.Lease:
        """Asks for a lease, and registers the entry if it is not yet."""
        message = changes.RenewLease(ask=1, revision=revision)
        for _ in range(2):
            commands = self.leader.handle(self.entry, message, now_ms, 0)
            commands = commands or self.commit_proposals(now_ms)
            sent = commands[-1]
            assert isinstance(sent, leader.Send)
            lease = sent.message
            if lease.lease_ms or lease.update is not None:
                break
        assert isinstance(lease, changes.Lease)
        return lease

    def commit_proposals(self, now_ms: int) -> list[Any]:
        """Commits the leader's proposals; returns its answers."""
        answers = []
        for command in self.leader.tick(now_ms, 0):
            assert isinstance(command, leader.Propose)
            outcome = self.state.apply(0, command.record)
            answers += self.leader.answer_waiters(
                command.record, outcome, now_ms
            )
        return answers

    def lagging_processes(self, revision: int, now_ms: int) -> list[str]:
        """Returns the processes that have not confirmed a revision."""
        found = self.leader.leases.find_lagging(revision, now_ms)
        return [one.process for one in found]

    def test_a_lease_only_under_the_newest_revision(self) -> None:
        """Guards against a lease for a process that has missed a change.

        The process gets the change instead of a lease, and a lease once it
        has confirmed the change. Until then the change is not in force.
        """
        self.assertEqual(LEASE_MS, self.renew(1, 100).lease_ms)
        self.state.apply(2, config_change("b", 1, account("kunci")))
        lease = self.renew(1, 200)
        self.assertEqual(0, lease.lease_ms)
        assert lease.update is not None
        self.assertEqual((1, 2), (lease.update.base, lease.update.revision))
        self.assertEqual(["entry-1"], self.lagging_processes(2, 300))
        self.assertEqual(LEASE_MS, self.renew(2, 400).lease_ms)
        self.assertEqual([], self.lagging_processes(2, 400))

    def test_a_change_is_in_force_once_the_lease_of_a_silent_one_lapses(
        self,
    ) -> None:
        """Guards against a change that is in force too early.

        A process is frozen when a change is made. The change is in force once
        the process's lease has expired, and not before.
        """
        self.renew(1, 100)
        self.state.apply(2, config_change("b", 1, account("kunci")))
        end = 100 + LEASE_MS + MAX_CLOCK_DRIFT_MS
        self.assertEqual(["entry-1"], self.lagging_processes(2, end - 1))
        self.assertEqual([], self.lagging_processes(2, end))

    def test_a_new_leader_knows_who_may_hold_a_lease(self) -> None:
        """Guards against leases that are forgotten in a change of leader.

        The control leader dies right after it has granted a lease, of which
        its successor does not know. A change must not be in force before that
        lease has expired.
        """
        self.renew(1, 100)
        self.leader = self.elect(1_000)
        self.state.apply(2, config_change("b", 1, account("kunci")))
        self.assertEqual(["entry-1"], self.lagging_processes(2, 100 + LEASE_MS))
        self.assertEqual(
            [], self.lagging_processes(2, 1_000 + LEASE_MS + MAX_CLOCK_DRIFT_MS)
        )

    def test_a_lost_proposal_does_not_take_the_answer_of_its_resend(
        self,
    ) -> None:
        """Guards against an answer that only the first request gets.

        The record of a change is lost, and its operator sends the change
        again. The resend must get the answer to its record.
        """
        for ask in (7, 8):
            message = changes.Apply(ask=ask, request_id="b", base_revision=1)
            commands = self.leader.handle(self.entry, message, 0, 0)
        [lost] = commands
        assert isinstance(lost, leader.Propose)
        outcome = self.state.apply(2, lost.record)
        answers = self.leader.answer_waiters(lost.record, outcome, 0)
        asks = [one.message.ask for one in answers if hasattr(one, "message")]
        self.assertIn(8, asks)

    def test_idle_renewals_write_nothing(self) -> None:
        """Guards against log records of lease renewals, here during an hour."""
        self.renew(1, 100)
        for now in range(200, 3_600_000, 1_000):
            self.renew(1, now)
            self.assertEqual([], self.leader.tick(now, 0))


class ConfigurationTest(base.TestCase):
    """Configuration files of operators."""

    def test_all_errors_at_once_with_field_and_value(self) -> None:
        """Guards against answers that name only the first of several errors.

        The answer to a configuration file with several errors names each with
        its field, the value and what is allowed.
        """
        text = """
            [[accounts]]
            name = "ruegg"
            key_sha256 = "short"
            [[deployments]]
            name = "advice"
            targets = []
            accounts = ["nobody"]
            budget_tokens = -5
            budgt = 3
            [deployments.limits]
            calls_running = 99999999
            calls_per_second = nan
            queue = -1
        """
        error = self.assertRaises(
            BadRequestError, configuration.parse, text.encode()
        )
        for expected in (
            "accounts.0.key_sha256",
            "deployments.0.targets",
            "deployments.0.accounts: an account of this configuration is"
            " allowed, got 'nobody'",
            "deployments.0.budget_tokens: Input should be greater than 0,"
            " got -5",
            "deployments.0.budgt",
            "limits.calls_running: Input should be less than or equal to"
            " 1000000, got 99999999",
            "limits.calls_per_second",
            "limits.queue: Input should be greater than or equal to 0, got -1",
        ):
            self.assertIn(expected, str(error))

    def test_what_is_neither_toml_nor_json_is_refused(self) -> None:
        for content in (
            b"\xff\xfe",
            b"{",
            b"[1]",
            b'{"accounts": 3}',
            b"{[" * 9,
        ):
            self.assertRaises(BadRequestError, configuration.parse, content)
