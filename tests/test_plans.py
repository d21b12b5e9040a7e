"""Core of plans: forecasts, confirmation, stop, undo, orders."""

from __future__ import annotations

from typing import Any

from catkinpin.core.messages import ServerReport
from catkinpin.core.operations import changes, control, drafts, plans, snapshot
from catkinpin.core.operations import deployments as items
from catkinpin.core.operations.orders import CLAIM_MS, Orders
from tests import base


def server(name: str, region: str = "ch-nord", **fields: Any) -> ServerReport:
    """Returns the report of a model server with a capacity of four calls."""
    return ServerReport(
        server=name,
        incarnation="1",
        address=f"http://10.0.0.{name[-1]}:80",
        kind="model",
        serves=["berater"],
        domain=f"{region}-a",
        region=region,
        capacity=4,
        **fields,
    )


class PlansTestCase(base.TestCase):
    """Base class: a deployment on three servers in two regions."""

    def setUp(self) -> None:
        super().setUp()
        self.set_up_state()

    def set_up_state(self) -> None:
        """Sets up a state without plans."""
        self.state = control.ControlState()
        self.advice = items.Deployment(name="advice", targets=["berater"])
        self.change(self.advice, items.Account(name="a", key_sha256="0"))
        self.servers = [
            server("s1", running=2),
            server("s2", running=2),
            server("s3", region="ch-west"),
        ]
        self.usage = [plans.ServerUsage("s1", "advice", "berater", 2, 3, 900)]

    def change(self, *upserts: items.Item, operator: str = "ben") -> None:
        """Applies a change of an operator."""
        record = changes.ConfigChanged(
            at_ms=0,
            request_id=str(self.state.revision),
            base_revision=self.state.revision,
            upserts=list(upserts),
            operator=operator,
        )
        self.state.apply(0, record)

    def make_plan(self, intent: plans.Intent) -> plans.Plan:
        """Makes a plan and applies its record."""
        plan = drafts.make_plan("p", intent, "ana", self.cluster_view())
        assert isinstance(plan, plans.Plan), plan
        self.state.apply(0, changes.PlanMade(at_ms=0, plan=plan))
        return plan

    def cluster_view(self) -> plans.ClusterView:
        """Returns the current configuration, servers and programs."""
        return plans.ClusterView(
            cfg=self.state.cfg,
            revision=self.state.revision,
            revision_of=self.state.revision_of,
            servers=self.servers,
            usage=self.usage,
        )

    def apply_to_plan(self, kind: Any) -> Any:
        """Applies an operator's record for the plan; returns the problems."""
        return self.state.apply(0, kind(at_ms=0, plan_id="p"))

    def advance_plan(self) -> None:
        """Ends the current step."""
        step = self.state.plans["p"].step
        record = changes.PlanAdvanced(at_ms=0, plan_id="p", step=step)
        self.state.apply(0, record)


class PlansTest(PlansTestCase):
    """Plans that operators make, confirm, stop and undo."""

    def test_the_forecast_of_a_move(self) -> None:
        plan = self.make_plan(plans.Move(deployment="advice", off=["s1"]))
        loads = [(one.server, one.after) for one in plan.forecast.loads]
        self.assertEqual([("s2", 0.75), ("s3", 0.25)], loads)
        self.assertEqual(
            (3, 900, 0, []),
            (
                plan.forecast.lost_programs,
                plan.forecast.lost_tokens,
                plan.forecast.link_bytes,
                plan.forecast.refused,
            ),
        )
        self.assertTrue(self.state.cfg.allows("advice", self.servers[0]))

    def test_the_forecast_of_draining_a_region_and_all(self) -> None:
        region = plans.DrainPlace(scope="region", name="ch-nord")
        forecast = self.make_plan(region).forecast
        self.assertEqual(900 * plans.BYTES_PER_TOKEN, forecast.link_bytes)
        everything = plans.Move(deployment="advice", off=["s1", "s2", "s3"])
        planned = drafts.make_plan("q", everything, "", self.cluster_view())
        assert isinstance(planned, plans.Plan)
        self.assertIn("every call of advice", planned.forecast.refused[0])

    def test_a_plan_acts_only_while_its_base_holds(self) -> None:
        """Guards against a plan that overwrites a later change.

        An operator changes the deployment after another has made a plan for
        it. Confirming the plan is refused with the change; a change of another
        item does not prevent it.
        """
        self.make_plan(plans.Move(deployment="advice", off=["s1"]))
        self.change(items.Account(name="other", key_sha256="1"))
        kept = snapshot.decode_state(snapshot.encode_state(self.state))
        raised = items.Deployment(name="advice", targets=["berater"])
        self.change(raised)
        [problem] = self.apply_to_plan(changes.PlanConfirmed)
        self.assertIn("deployment advice: changed at revision 3 by", problem)
        self.assertTrue(self.state.cfg.allows("advice", self.servers[0]))
        self.state = kept
        self.assertEqual([], self.apply_to_plan(changes.PlanConfirmed))
        self.assertFalse(self.state.cfg.allows("advice", self.servers[0]))
        revision = self.state.revision
        self.assertEqual([], self.apply_to_plan(changes.PlanConfirmed))
        self.assertEqual(revision, self.state.revision)

    def test_stop_and_undo_at_every_step(self) -> None:
        """Guards against an undo that leaves a part of a plan in place.

        An operator undoes the plan of a new version at each of its steps. The
        configuration is as before, and each engine that may have got the
        order gets an order for the old version. A replica that restores a
        snapshot in between does the same.
        """
        before = self.state.cfg.items()
        intent = plans.NewVersion(
            deployment="advice", target="berater", version="v2"
        )
        for steps in range(12):
            self.set_up_state()
            plan = self.make_plan(intent)
            self.apply_to_plan(changes.PlanConfirmed)
            for _ in range(steps):
                self.advance_plan()
            saved = snapshot.encode_state(self.state)
            self.state = snapshot.decode_state(saved)
            self.assertEqual(saved, snapshot.encode_state(self.state))
            run = self.state.plans["p"]
            ordered = len(run.issued_orders)
            if run.state is not plans.PlanState.DONE:
                self.assertEqual([], self.apply_to_plan(changes.PlanStopped))
            self.assertEqual([], self.apply_to_plan(changes.PlanUndone))
            self.assertEqual(before, self.state.cfg.items())
            for _ in range(ordered):
                step = self.state.plans["p"].current_step()
                assert isinstance(step, plans.OrderStep)
                self.assertIn(b'"version": ""', step.order)
                self.advance_plan()
            self.assertIs(plans.PlanState.UNDONE, self.state.plans["p"].state)
        self.assertEqual(3, ordered)
        self.assertEqual(13, len(plan.steps))

    def test_undo_tells_who_changed_the_same(self) -> None:
        """Guards against an undo that overwrites a later change.

        Another operator changes the deployment after the plan ran. The undo
        is refused and names that operator.
        """
        self.make_plan(plans.Move(deployment="advice", off=["s1"]))
        self.apply_to_plan(changes.PlanConfirmed)
        self.change(self.advice, operator="eva")
        [problem] = self.apply_to_plan(changes.PlanUndone)
        self.assertIn("by eva", problem)

    def test_what_can_not_be_planned_names_its_field(self) -> None:
        for intent, field in (
            (plans.Move(deployment="none", off=["s1"]), "deployment"),
            (plans.Move(deployment="advice", off=["s9"]), "off"),
            (plans.Scale(deployment="advice", servers=0), "servers"),
            (plans.SetBudget(deployment="advice"), "tokens"),
            (plans.Undrain(scope="server", name="s1"), "name"),
        ):
            planned = drafts.make_plan("q", intent, "", self.cluster_view())
            assert isinstance(planned, plans.InvalidIntent)
            self.assertTrue(planned.problems[0].startswith(field))


class OrdersTest(PlansTestCase):
    """Orders to engines that check fencing tokens or ignore them."""

    def start_order(self, honours_fencing: bool) -> None:
        """Runs a plan up to its first order."""
        self.servers = [server("s1")]
        self.usage = []
        facts = changes.ServerFacts(
            server="s1",
            incarnation="1",
            address="http://10.0.0.1:80",
            honours_fencing=honours_fencing,
        )
        self.state.apply(0, changes.ServersChanged(at_ms=0, servers=[facts]))
        intent = plans.NewVersion(
            deployment="advice", target="berater", version="v2"
        )
        self.make_plan(intent)
        self.apply_to_plan(changes.PlanConfirmed)
        self.advance_plan()

    def claim_order(self, orders: Orders, now_ms: int) -> changes.OrderLease:
        """Claims the order of the current step."""
        step = self.state.plans["p"].step
        message = changes.OrderClaim(ask=1, plan_id="p", step=step)
        return orders.grant_claim(message, now_ms)

    def test_a_successor_waits_for_an_engine_that_ignores_tokens(self) -> None:
        """Guards against orders that reach an engine in the wrong order.

        The control leader dies while an order is on its way. If its successor
        sent another before the first one's claim has expired, an engine that
        ignores fencing tokens could carry out the old order last and keep the
        old model.
        """
        self.start_order(honours_fencing=False)
        orders = Orders(self.state, 1_000)
        self.assertEqual([], orders.create_due_offers(1_000 + CLAIM_MS))
        self.assertEqual(0, self.claim_order(orders, 1_000 + CLAIM_MS).valid_ms)
        later = 1_100 + CLAIM_MS
        self.assertEqual(1, len(orders.create_due_offers(later)))
        self.assertEqual(CLAIM_MS, self.claim_order(orders, later).valid_ms)

    def test_one_order_at_a_time(self) -> None:
        """Guards against an order that two entries send at the same time.

        Two entries are offered the order, or an answer is lost. Only one
        entry may send the order until its claim has expired.
        """
        self.start_order(honours_fencing=True)
        orders = Orders(self.state, 1_000)
        self.assertEqual(1, len(orders.create_due_offers(1_000)))
        lease = self.claim_order(orders, 1_000)
        self.assertEqual((CLAIM_MS, 1), (lease.valid_ms, lease.fence))
        self.assertEqual(0, self.claim_order(orders, 1_010).valid_ms)
        self.assertEqual([], orders.create_due_offers(2_500))
        self.assertEqual(1, len(orders.create_due_offers(1_100 + CLAIM_MS)))

    def test_an_order_that_was_stopped_is_not_sent(self) -> None:
        """Guards against an order that is sent after its plan was stopped."""
        self.start_order(honours_fencing=True)
        orders = Orders(self.state, 1_000)
        self.apply_to_plan(changes.PlanStopped)
        self.assertEqual(0, self.claim_order(orders, 1_000).valid_ms)
