"""Plans in the core: forecasts, confirmation, stop, undo, orders."""

from __future__ import annotations

from typing import Any

from catkinpin.core.messages import ServerReport
from catkinpin.core.operations import changes, control, drafts, plans, snapshot
from catkinpin.core.operations import deployments as items
from catkinpin.core.operations.orders import CLAIM_MS, Orders
from tests import base


def server(name: str, region: str = "ch-nord", **fields: Any) -> ServerReport:
    """Returns the report of a model's server with room for four calls."""
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


class Plans(base.TestCase):
    """A deployment on three servers in two regions."""

    def setUp(self) -> None:
        super().setUp()
        self.begin()

    def begin(self) -> None:
        """Begins with a system in which no plan has been made."""
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
        """Makes an operator's change."""
        record = changes.ConfigChanged(
            at_ms=0,
            request_id=str(self.state.revision),
            base_revision=self.state.revision,
            upserts=list(upserts),
            operator=operator,
        )
        self.state.apply(0, record)

    def made(self, intent: plans.Intent) -> plans.Plan:
        """Makes a plan."""
        plan = drafts.make_plan("p", intent, "ana", self.facts())
        assert isinstance(plan, plans.Plan), plan
        self.state.apply(0, changes.PlanMade(at_ms=0, plan=plan))
        return plan

    def facts(self) -> plans.ClusterView:
        """Returns what is known now."""
        return plans.ClusterView(
            cfg=self.state.cfg,
            revision=self.state.revision,
            revision_of=self.state.revision_of,
            servers=self.servers,
            usage=self.usage,
        )

    def act(self, kind: Any) -> Any:
        """Applies an operator's word about the plan."""
        return self.state.apply(0, kind(at_ms=0, plan_id="p"))

    def advance(self) -> None:
        """Ends the step under way."""
        step = self.state.plans["p"].step
        record = changes.PlanAdvanced(at_ms=0, plan_id="p", step=step)
        self.state.apply(0, record)


class PlansTest(Plans):
    """What operators plan, confirm, stop and undo."""

    def test_the_forecast_of_a_move(self) -> None:
        plan = self.made(plans.Move(deployment="advice", off=["s1"]))
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
        forecast = self.made(region).forecast
        self.assertEqual(900 * plans.BYTES_PER_TOKEN, forecast.link_bytes)
        everything = plans.Move(deployment="advice", off=["s1", "s2", "s3"])
        made = drafts.make_plan("q", everything, "", self.facts())
        assert isinstance(made, plans.Plan)
        self.assertIn("every call of advice", made.forecast.refused[0])

    def test_a_plan_acts_only_while_its_base_holds(self) -> None:
        """An operator changes the deployment after another made a plan.

        The plan is refused with what has changed; a change of something else
        does not stop it.
        """
        self.made(plans.Move(deployment="advice", off=["s1"]))
        self.change(items.Account(name="other", key_sha256="1"))
        kept = snapshot.decode_state(snapshot.encode_state(self.state))
        raised = items.Deployment(name="advice", targets=["berater"])
        self.change(raised)
        [problem] = self.act(changes.PlanConfirmed)
        self.assertIn("deployment advice: changed at revision 3 by", problem)
        self.assertTrue(self.state.cfg.allows("advice", self.servers[0]))
        self.state = kept
        self.assertEqual([], self.act(changes.PlanConfirmed))
        self.assertFalse(self.state.cfg.allows("advice", self.servers[0]))
        revision = self.state.revision
        self.assertEqual([], self.act(changes.PlanConfirmed))
        self.assertEqual(revision, self.state.revision)

    def test_stop_and_undo_at_every_step(self) -> None:
        """An operator thinks better of a new version, at whatever step.

        Undone, the configuration is as before, and each engine that may have
        got the order gets the old version back; a replica that restores a
        snapshot in between goes on alike.
        """
        before = self.state.cfg.items()
        wish = plans.NewVersion(
            deployment="advice", target="berater", version="v2"
        )
        for steps in range(12):
            self.begin()
            plan = self.made(wish)
            self.act(changes.PlanConfirmed)
            for _ in range(steps):
                self.advance()
            saved = snapshot.encode_state(self.state)
            self.state = snapshot.decode_state(saved)
            self.assertEqual(saved, snapshot.encode_state(self.state))
            run = self.state.plans["p"]
            ordered = len(run.issued_orders)
            if run.state is not plans.PlanState.DONE:
                self.assertEqual([], self.act(changes.PlanStopped))
            self.assertEqual([], self.act(changes.PlanUndone))
            self.assertEqual(before, self.state.cfg.items())
            for _ in range(ordered):
                step = self.state.plans["p"].current_step()
                assert isinstance(step, plans.OrderStep)
                self.assertIn(b'"version": ""', step.order)
                self.advance()
            self.assertIs(plans.PlanState.UNDONE, self.state.plans["p"].state)
        self.assertEqual(3, ordered)
        self.assertEqual(13, len(plan.steps))

    def test_undo_tells_who_changed_the_same(self) -> None:
        """Another operator has changed the deployment after the plan ran.

        Undoing would throw her change away; it is refused and names her.
        """
        self.made(plans.Move(deployment="advice", off=["s1"]))
        self.act(changes.PlanConfirmed)
        self.change(self.advice, operator="eva")
        [problem] = self.act(changes.PlanUndone)
        self.assertIn("by eva", problem)

    def test_what_can_not_be_planned_names_its_field(self) -> None:
        for intent, field in (
            (plans.Move(deployment="none", off=["s1"]), "deployment"),
            (plans.Move(deployment="advice", off=["s9"]), "off"),
            (plans.Scale(deployment="advice", servers=0), "servers"),
            (plans.SetBudget(deployment="advice"), "tokens"),
            (plans.Undrain(scope="server", name="s1"), "name"),
        ):
            made = drafts.make_plan("q", intent, "", self.facts())
            assert isinstance(made, plans.InvalidIntent)
            self.assertTrue(made.problems[0].startswith(field))


class OrdersTest(Plans):
    """Orders to engines, with and without a check of fencing tokens."""

    def order_due(self, honours_fencing: bool) -> None:
        """Brings a plan to its first order."""
        self.servers = [server("s1")]
        self.usage = []
        facts = changes.ServerFacts(
            server="s1",
            incarnation="1",
            address="http://10.0.0.1:80",
            honours_fencing=honours_fencing,
        )
        self.state.apply(0, changes.ServersChanged(at_ms=0, servers=[facts]))
        wish = plans.NewVersion(
            deployment="advice", target="berater", version="v2"
        )
        self.made(wish)
        self.act(changes.PlanConfirmed)
        self.advance()

    def claim(self, orders: Orders, now_ms: int) -> changes.OrderLease:
        """Asks whether the order may be sent."""
        step = self.state.plans["p"].step
        message = changes.OrderClaim(ask=1, plan_id="p", step=step)
        return orders.grant_claim(message, now_ms)

    def test_a_successor_waits_for_an_engine_that_ignores_tokens(self) -> None:
        """The control leader dies while an order is on its way.

        The next one must not send another before the old one can't arrive any
        more: the engine would take the old one last and keep the old model.
        """
        self.order_due(honours_fencing=False)
        orders = Orders(self.state, 1_000)
        self.assertEqual([], orders.take_due_offers(1_000 + CLAIM_MS))
        self.assertEqual(0, self.claim(orders, 1_000 + CLAIM_MS).valid_ms)
        later = 1_100 + CLAIM_MS
        self.assertEqual(1, len(orders.take_due_offers(later)))
        self.assertEqual(CLAIM_MS, self.claim(orders, later).valid_ms)

    def test_one_order_at_a_time(self) -> None:
        """Two entries are asked to carry one order, or an answer is lost.

        Only one of them sends it, until its claim has run out.
        """
        self.order_due(honours_fencing=True)
        orders = Orders(self.state, 1_000)
        self.assertEqual(1, len(orders.take_due_offers(1_000)))
        lease = self.claim(orders, 1_000)
        self.assertEqual((CLAIM_MS, 1), (lease.valid_ms, lease.fence))
        self.assertEqual(0, self.claim(orders, 1_010).valid_ms)
        self.assertEqual([], orders.take_due_offers(2_500))
        self.assertEqual(1, len(orders.take_due_offers(1_100 + CLAIM_MS)))

    def test_an_order_that_was_stopped_is_not_sent(self) -> None:
        """An operator stops the plan while an entry is about to send."""
        self.order_due(honours_fencing=True)
        orders = Orders(self.state, 1_000)
        self.act(changes.PlanStopped)
        self.assertEqual(0, self.claim(orders, 1_000).valid_ms)
