"""Tests limits, retry budgets and ejection under overload and failures."""

from __future__ import annotations

import random

from catkinpin.core.messages import CallKey
from catkinpin.core.operations.deployments import Limits
from catkinpin.core.placement import ejection, limits
from tests import base


def _key(number: int) -> CallKey:
    return CallKey(account="a", program=f"p{number}", request_id="1")


class AdmissionTest(base.TestCase):
    """Calls that would be answered late are refused immediately."""

    def test_burst_after_a_quiet_time_is_admitted(self) -> None:
        """Guards against a burst refused because of a quiet time before it.

        Calls arrive rarely, then a hundred at once. The answers of the quiet
        time do not show how fast a queue drains.
        """
        admission = limits.Admission()
        scope = limits.Scope(limits.DEPLOYMENT, "d", Limits())
        for number in range(50):
            now = number * 10_000
            admission.add_call(_key(number), [scope], now)
            admission.mark_running(_key(number), now)
            admission.remove_call(_key(number), now + 100, answered=True)
        for number in range(100):
            self.assertIsNone(admission.check([scope], 2_000, now + 200))
            admission.add_call(_key(number), [scope], now + 200)

    def test_call_that_would_be_late_is_refused_with_a_time(self) -> None:
        """Guards against calls that wait in vain during overload.

        Calls arrive faster than servers answer. A call that would miss its
        deadline is refused with the time after which to retry.
        """
        admission = limits.Admission()
        scope = limits.Scope(limits.DEPLOYMENT, "d", Limits())
        for number in range(400):
            admission.add_call(_key(number), [scope], 0)
        for number in range(200):
            admission.mark_running(_key(number), number * 10)
            admission.remove_call(_key(number), number * 10 + 5, answered=True)
        denial = admission.check([scope], 1_000, 2_000)
        assert denial is not None
        self.assertGreaterEqual(denial.retry_after_ms, 200)
        self.assertIsNone(admission.check([scope], 60_000, 2_000))

    def test_queue_and_rate_of_an_account_are_bounded(self) -> None:
        admission = limits.Admission()
        bounds = Limits(queue=2, calls_per_second=3.0, calls_running=1)
        scope = limits.Scope(limits.ACCOUNT, "a", bounds)
        for number in range(2):
            self.assertIsNone(admission.check([scope], 9_000, 0))
            admission.add_call(_key(number), [scope], 0)
        denial = admission.check([scope], 9_000, 0)
        assert denial is not None
        self.assertIn("waiting", denial.text)
        self.assertTrue(admission.may_start([scope]))
        admission.mark_running(_key(0), 0)
        self.assertFalse(admission.may_start([scope]))
        admission.add_call(_key(2), [scope], 0)
        admission.remove_call(_key(1), 0, answered=False)
        denial = admission.check([scope], 9_000, 0)
        assert denial is not None
        self.assertIn("calls a second", denial.text)
        self.assertIsNone(admission.check([scope], 9_000, 1_000))

    def test_retries_are_a_share_of_first_attempts(self) -> None:
        """Guards against retries that multiply the load of failing servers.

        Every server fails every call, and retries add only a fixed share.
        """
        budget = limits.RetryBudget(share=0.1)
        retried = 0
        for _ in range(10_000):
            budget.record_first_attempt("d")
            retried += budget.spend("d") + budget.spend("d")
        self.assertLessEqual(retried, 1_100)


class OutlierTest(base.TestCase):
    """Failing servers are ejected, but never too many at once."""

    def test_failing_server_is_ejected_and_returns_on_probation(self) -> None:
        """Guards against a failing server that looks idle and attracts calls.

        After its recovery it gets one call at a time at first.
        """
        outliers = ejection.OutlierDetector(random.Random(1))
        for number in range(10):
            outliers.register(f"s{number}", "i")
        for _ in range(ejection.CONSECUTIVE_FAILURES_TO_EJECT):
            self.assertTrue(outliers.admits("s0", 0, 0))
            outliers.record_failure("s0", 0)
        self.assertFalse(outliers.admits("s0", 0, 1_000))
        self.assertTrue(outliers.admits("s0", 0, 5_000))
        self.assertFalse(outliers.admits("s0", 1, 5_000))
        for _ in range(5):
            outliers.record_success("s0")
        self.assertTrue(outliers.admits("s0", 3, 5_000))

    def test_most_servers_stay_when_all_fail(self) -> None:
        """Guards against ejecting all servers for a fault elsewhere."""
        outliers = ejection.OutlierDetector(random.Random(1))
        for number in range(10):
            outliers.register(f"s{number}", "i")
        for number in range(100):
            outliers.record_failure(f"s{number % 10}", 0)
        self.assertLessEqual(len(outliers.ejected_servers(1)), 3)
