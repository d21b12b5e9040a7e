"""Which requests are quarantined after servers crashed under them."""

from __future__ import annotations

from typing import Any

import testtools
from msgspec import structs

from catkinpin import codec
from catkinpin.core.control import state
from catkinpin.core.control.suspects import (
    AnsweredRequest,
    Strike,
    Suspects,
)


def _strikes(server: str, *requests: str) -> list[Strike]:
    """Returns strikes against requests.

    Args:
        server: the server that crashed.
        *requests: each "body" or "body/program"; a body "path:body" has a path.
    """
    return [
        Strike(
            shared=request.split("/")[0],
            content=request,
            server=server,
            path=_path_of(request),
        )
        for request in requests
    ]


def _path_of(request: str) -> str:
    path, separator, _ = request.partition(":")
    return path if separator else ""


class SuspectsTest(testtools.TestCase):
    """Strikes, and what they prove."""

    def setUp(self) -> None:
        super().setUp()
        self.suspects = Suspects()

    def _crash(self, server: str, *requests: str) -> None:
        for strike in _strikes(server, *requests):
            self.suspects.add(strike)

    def _answer(self, request: str) -> None:
        self.suspects.clear(
            AnsweredRequest(
                shared=request.split("/")[0],
                content=request,
                path=_path_of(request),
            )
        )

    def _quarantine(self) -> list[str]:
        causes = self.suspects.find_causes()
        self.suspects.explain(causes)
        return causes

    def test_request_is_recognized_under_another_program(self) -> None:
        """Guards against a request that each time has a new program."""
        self._crash("s1", "bad/p1")
        self.assertEqual([], self.suspects.find_causes())
        self._crash("s2", "bad/p2")
        self.assertEqual(["bad"], self.suspects.find_causes())

    def test_one_crash_counts_once(self) -> None:
        """Guards against a quarantine after one crash that is reported twice.

        Two gateways had the same request aboard, or a report was sent again.
        """
        self._crash("s1", "a/p1", "a/p2", "a/p1")
        self.assertEqual([], self.suspects.find_causes())

    def test_request_beside_both_crashes_is_not_quarantined(self) -> None:
        """Guards against quarantining a request that was there by chance."""
        self._crash("s1", "bad/p1", "good/p")
        self._crash("s2", "bad/p2", "good/p")
        self.assertEqual([], self.suspects.find_causes())
        self._answer("good/p")
        self.assertEqual(["bad"], self.suspects.find_causes())

    def test_third_crash_tells_which_request_was_beside(self) -> None:
        """Guards against waiting for an answer that never comes."""
        self._crash("s1", "bad/p1", "good/p")
        self._crash("s2", "bad/p2", "good/p")
        self._crash("s3", "bad/p3")
        self.assertEqual(["bad"], self.suspects.find_causes())
        self.suspects.explain(["bad"])
        self.assertEqual({}, self.suspects.crash_counts())

    def test_three_shared_crashes_are_enough(self) -> None:
        """Guards against a request that crashes servers for ever in company."""
        for server in ("s1", "s2", "s3"):
            self._crash(server, "bad/p", "other/p")
        self.assertEqual(["bad", "other"], sorted(self.suspects.find_causes()))

    def test_answered_request_starts_again(self) -> None:
        """Guards against strikes of crashes that lie days apart."""
        self._crash("s1", "good/p")
        self._answer("good/p")
        self._crash("s2", "good/p")
        self.assertEqual([], self.suspects.find_causes())

    def test_other_programs_answers_leave_the_harmful_one(self) -> None:
        """Guards against refusing all programs that request one path.

        One of them sends it with fields that crash servers.
        """
        self._crash("s1", "common/bad")
        self._answer("common/p1")
        self._crash("s2", "common/bad")
        self._answer("common/p2")
        self.assertEqual(["common/bad"], self.suspects.find_causes())

    def test_crashes_at_the_same_time_count_once(self) -> None:
        """Guards against quarantining what all programs send.

        Servers end together, while each runs such a request.
        """
        for server, ended_ms in (("s1", 1_000), ("s2", 1_005), ("s3", 1_400)):
            strike = Strike(
                shared="common",
                content=f"common/{server}",
                server=server,
                began_ms=400,
                ended_ms=ended_ms,
            )
            self.suspects.add(strike)
        self.assertEqual({"common": 1}, self.suspects.crash_counts())
        self.assertEqual([], self.suspects.find_causes())

    def test_crash_of_a_copy_sent_later_counts(self) -> None:
        """Guards against a request that comes again while copies of it run."""
        for server, began_ms, ended_ms in (
            ("s1", 900, 1_000),
            ("s2", 950, 1_100),
            ("s3", 1_050, 1_200),
        ):
            strike = Strike(
                shared="bad",
                content=f"bad/{server}",
                server=server,
                began_ms=began_ms,
                ended_ms=ended_ms,
            )
            self.suspects.add(strike)
        self.assertEqual(["bad"], self.suspects.find_causes())

    def test_crash_of_a_known_suspect_counts(self) -> None:
        """Guards against reports so late that runs seem to overlap."""
        for server, is_repeat in (("s1", False), ("s2", True)):
            strike = Strike(
                shared="bad",
                content="bad/p",
                server=server,
                began_ms=900,
                ended_ms=1_000,
                is_repeat=is_repeat,
            )
            self.suspects.add(strike)
        self.assertEqual(["bad"], self.suspects.find_causes())

    def test_path_is_recognized_under_other_bodies(self) -> None:
        """Guards against a request whose body is new each time."""
        self._crash("s1", "path:1/p1")
        self._crash("s2", "path:1/p1")
        self.assertEqual(["path:1"], self._quarantine())
        self._crash("s3", "path:2/p2")
        self.assertEqual(["path"], self._quarantine())
        self.assertEqual({}, self.suspects.crash_counts())
        self.assertEqual({}, self.suspects.judged_counts())

    def test_path_is_recognized_while_each_body_has_one_crash(self) -> None:
        """Guards against a path that never sends one body twice."""
        for number in range(3):
            self._crash(f"s{number}", f"path:{number}/p{number}", "good/p")
        self.assertEqual([], self.suspects.find_causes())
        self._answer("good/p")
        self.assertEqual(["path"], self.suspects.find_causes())

    def test_answered_path_is_not_quarantined(self) -> None:
        """Guards against refusing a path that all use for one bad body."""
        self._crash("s1", "path:bad/p1")
        self._crash("s2", "path:bad/p1")
        self.assertEqual(["path:bad"], self._quarantine())
        self._answer("path:good/p2")
        self._crash("s3", "path:other/p3")
        self.assertEqual([], self.suspects.find_causes())

    def test_one_body_does_not_make_its_path_harmful(self) -> None:
        """Guards against refusing more than what crashed servers."""
        for server in ("s1", "s2", "s3", "s4"):
            self._crash(server, "path:bad/p")
        self.assertEqual(["path:bad"], self._quarantine())
        self.assertEqual(["path"], list(self.suspects.crash_counts()))

    def test_request_beside_a_harmful_path_is_not_quarantined(self) -> None:
        """Guards against quarantining what ran beside two bodies of a path."""
        self._crash("s1", "path:1/p1", "good/p")
        self._crash("s2", "path:2/p2", "good/p")
        self._crash("s3", "path:3/p3")
        self.assertEqual(["path"], self._quarantine())
        self.assertEqual({}, self.suspects.crash_counts())

    def test_late_reports_of_an_explained_crash_are_no_strikes(self) -> None:
        """Guards against a second cause of a crash that has one."""
        self._crash("s1", "bad/p1")
        self._crash("s2", "bad/p2")
        self.suspects.explain(["bad"])
        self._crash("s1", "late/p")
        self._crash("s2", "late/p")
        self.assertEqual({}, self.suspects.crash_counts())

    def test_crash_of_a_quarantined_request_has_its_cause(self) -> None:
        """Guards against strikes beside a quarantined request's last run."""
        self._crash("s3", "good/p")
        self.suspects.terms.begin("bad", 0)
        self._crash("s3", "bad/p3")
        self.assertEqual({}, self.suspects.crash_counts())


class BoundedInTimeTest(testtools.TestCase):
    """Evidence and quarantines end after some time."""

    def setUp(self) -> None:
        super().setUp()
        self.control = state.ControlState()
        self.now_ms = 1_000_000
        self.index = 0

    def _apply(self, **changes: Any) -> None:
        self.index += 1
        fields = {"contents": [], "wall_ms": self.now_ms, **changes}
        record = state.Record(tag="t", body=state.Quarantine(**fields))
        self.control.apply(self.index, record)

    def _crash(self, server: str, request: str = "path:body/p") -> None:
        """Crashes a server under a request, and quarantines the causes."""
        self.now_ms += 1_000
        self._apply(
            strikes=[
                structs.replace(
                    strike, began_ms=self.now_ms - 10, ended_ms=self.now_ms
                )
                for strike in _strikes(server, request)
            ]
        )
        self._apply(contents=self.control.suspects.find_causes())

    def _wait(self, ms: int) -> None:
        """Lets time pass, and ends the quarantines whose term is over."""
        self.now_ms += ms
        self._apply(lapsed=self.control.suspects.terms.due(self.now_ms))

    def _answer(self, request: str) -> None:
        answered = AnsweredRequest(
            shared=request.split("/")[0],
            content=request,
            path=_path_of(request),
        )
        self._apply(answered=[answered])

    def test_harmless_request_is_refused_for_a_term_only(self) -> None:
        """Guards against refusing a harmless request for good.

        Two servers ended under it, one after the other and for reasons of
        their own, and no copy of it is under way that an answer could clear.
        """
        self._crash("s1")
        self._crash("s2")
        self.assertEqual(["path:body"], list(self.control.quarantined))
        self._wait(29_000)
        self.assertEqual(1, len(self.control.quarantined))
        self._wait(2_000)
        self.assertEqual([], list(self.control.quarantined))
        self._answer("path:body/other")
        self._crash("s3")
        self.assertEqual([], list(self.control.quarantined))

    def test_harmful_request_costs_one_server_a_term(self) -> None:
        """Guards against a harmful request that is free after its term."""
        self._crash("s1")
        self._crash("s2")
        for number, minutes in enumerate((0.5, 2, 8, 32, 60, 60)):
            self.assertEqual(["path:body"], list(self.control.quarantined))
            self._wait(int(minutes * 60_000) - 1_000)
            self.assertEqual(["path:body"], list(self.control.quarantined))
            self._wait(2_000)
            self.assertEqual([], list(self.control.quarantined))
            self._crash(f"s{number + 3}", "path:body/new")

    def test_each_width_of_a_request_is_on_trial(self) -> None:
        """Guards against two crashes more after each term.

        A request may be quarantined by its path, its body or its program.
        """
        for digest in ("path", "path:body", "path:body/p"):
            self.control = state.ControlState()
            self._apply(contents=[digest])
            self._wait(31_000)
            self._crash("s1")
            self.assertEqual([digest], list(self.control.quarantined))

    def test_request_is_told_to_gateways_while_on_trial(self) -> None:
        """Guards against copies on many servers, and unreported answers."""
        changes: list[state.SuspectChange] = []
        self.control = state.ControlState(on_suspects_changed=changes.append)
        self._crash("s1")
        self._crash("s2")
        self._wait(31_000)
        self.assertEqual(["path:body"], changes[-1].lapsed)
        self.assertEqual(["path:body"], changes[-1].suspects)
        self.now_ms += 1_000
        self._apply(strikes=_strikes("s3", "path:body/p"), wall_ms=0)
        self.assertEqual(["path:body"], changes[-1].held)

    def test_trial_ends(self) -> None:
        """Guards against suspicion without end."""
        self._crash("s1")
        self._crash("s2")
        self._wait(31_000)
        self._wait(300_001)
        self._crash("s3")
        self.assertEqual([], list(self.control.quarantined))

    def test_old_crash_is_no_evidence(self) -> None:
        """Guards against refusing a request for two crashes in a long time."""
        self._crash("s1")
        self._wait(300_001)
        self._crash("s2")
        self.assertEqual([], list(self.control.quarantined))

    def test_terms_outlast_leaders_and_restarts(self) -> None:
        """Guards against quarantines that begin anew or never end."""
        self._crash("s1")
        self._crash("s2")
        self._apply(contents=["on-trial"], wall_ms=0)
        self._wait(1_000)
        restored = state.ControlState()
        restored.restore(self.index, self.control.snapshot())
        self.control = restored
        self._wait(28_000)
        self.assertEqual(["path:body"], list(self.control.quarantined))
        self._wait(2_000)
        self.assertEqual([], list(self.control.quarantined))
        self._crash("s3", "on-trial")
        self.assertEqual(["on-trial"], list(self.control.quarantined))

    def test_quarantine_of_the_previous_release_ends(self) -> None:
        """Guards against an upgrade that keeps a quarantine for good."""
        self._crash("s1")
        self._crash("s2")
        data = codec.decoder(dict).decode(self.control.snapshot())
        for name in ("terms", "trials"):
            data.pop(name, None)
        self.control.restore(self.index, codec.encode(data))
        self.assertEqual(["path:body"], list(self.control.quarantined))
        self._wait(1)
        self.assertEqual([], list(self.control.quarantined))
        self._crash("s3")
        self.assertEqual(["path:body"], list(self.control.quarantined))


class ControlStateTest(testtools.TestCase):
    """Suspects in the state of the control group."""

    def setUp(self) -> None:
        super().setUp()
        self.changes: list[state.SuspectChange] = []
        self.control = state.ControlState(
            on_suspects_changed=self.changes.append
        )
        self.index = 0

    def _apply(self, body: state.Quarantine) -> state.SuspectChange:
        self.index += 1
        self.control.apply(self.index, state.Record(tag="t", body=body))
        return self.changes[-1]

    def _crash(self, server: str, *requests: str) -> state.SuspectChange:
        strikes = _strikes(server, *requests)
        return self._apply(state.Quarantine(contents=[], strikes=strikes))

    def test_gateways_are_told_what_changes(self) -> None:
        """Guards against gateways that report no answers, or all."""
        change = self._crash("s1", "bad/p1", "good/p")
        self.assertEqual(["bad", "good"], change.suspects)
        self.assertEqual([], change.held)
        change = self._crash("s2", "bad/p2")
        self.assertEqual((["bad"], []), (change.held, change.suspects))
        change = self._apply(state.Quarantine(contents=["bad"]))
        self.assertEqual(["bad"], change.quarantined)
        self.assertEqual(["bad", "good"], sorted(change.cleared))

    def test_answer_lifts_a_quarantine(self) -> None:
        """Guards against refusing for good what servers answer.

        Two servers ended one after the other for a reason of their own; copies
        of the request that they ran go on elsewhere.
        """
        self._crash("s1", "path:common/p1")
        self._crash("s2", "path:common/p2")
        self._apply(state.Quarantine(contents=["path:common", "other"]))
        answered = AnsweredRequest(
            shared="path:common", content="path:common/p3", path="path"
        )
        change = self._apply(state.Quarantine([], answered=[answered]))
        self.assertEqual(["path:common"], change.lifted)
        self.assertEqual(["other"], list(self.control.quarantined))

    def test_strikes_outlast_leaders_and_restarts(self) -> None:
        """Guards against a request that gets two more servers a leader."""
        self._crash("s1", "bad/p1")
        restored = state.ControlState()
        restored.restore(1, self.control.snapshot())
        body = state.Quarantine(contents=[], strikes=_strikes("s2", "bad/p2"))
        restored.apply(2, state.Record(tag="t", body=body))
        self.assertEqual(["bad"], restored.suspects.find_causes())

    def test_harmful_paths_outlast_leaders_and_restarts(self) -> None:
        """Guards against a path that gets two more servers a leader."""
        self._crash("s1", "path:1/p1")
        self._crash("s2", "path:1/p1")
        self._apply(state.Quarantine(contents=["path:1"]))
        restored = state.ControlState()
        restored.restore(1, self.control.snapshot())
        strikes = _strikes("s3", "path:2/p2")
        body = state.Quarantine(contents=[], strikes=strikes)
        restored.apply(2, state.Record(tag="t", body=body))
        self.assertEqual(["path"], restored.suspects.find_causes())

    def test_snapshot_of_the_previous_release_has_no_strikes(self) -> None:
        """Guards against an upgrade that can't read its data."""
        data = codec.decoder(dict).decode(self.control.snapshot())
        data.pop("strikes", None)
        data.pop("explained", None)
        data.pop("proved", None)
        self.control.restore(1, codec.encode(data))
        self.assertEqual({}, self.control.suspects.crash_counts())
