"""Test that no target applies a conflicting order or one of a former holder."""

from datetime import timedelta
from unittest import mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok
from testtools import TestCase

from galenapass.systems import drains, leases, orders_rules
from galenapass.systems.orders import step_orders
from galenapass.systems.orders_codec import decode_orders
from galenapass.systems.orders_events import (
    FetchState,
    ObjectRead,
    ObjectWritten,
    OrderSent,
    OrdersTick,
    PlannerInputs,
    ReadOrders,
    SendOrder,
    StateFetched,
    WriteOrders,
)
from galenapass.systems.role_planning import RequiredChange
from galenapass.tables.orders import IntentPhase, LatestOrders, PlannerState
from galenapass.tables.peer_messages import Orders
from galenapass.tables.targets import Target, TargetKind, TargetState
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict
from tests.fake_engines import FakeEngine
from tests.fake_objects import CALL_OUTCOMES, CallOutcome, FakeObjects
from tests.test_leases import TERM, Process

QUARANTINE = timedelta(seconds=30)
HOSTS = 2
TARGETS = {"checks": True, "ignores": False}
ROLES = ["mixed", "prefill", "decode"]
UNSENT = Err(Verdict(Run.NOT_RUN, Reason.CANCELLED))
LOST = Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_UNREACHABLE))


class Daemon:
    """One daemon, which may become the planner and sends requests to the targets."""

    def __init__(self, number, incarnation):
        self.process = Process(number, incarnation)
        self.host = f"h{number}"
        self.incarnation = incarnation
        self.planner = PlannerState("north", self.host, incarnation)
        self.view = LatestOrders()
        self.world = World(self.host, "north")
        self.call = None
        self.checked = None
        for name, checks in TARGETS.items():
            self.world.targets[name] = Target(
                name, "", "north", TargetKind.ENGINE, "s", checks_fencing=checks
            )

    def is_valid(self, now):
        return self.process.is_valid(now)


class OrdersMachine(RuleBasedStateMachine):
    """Planners that are killed, paused and cut off, and whose orders may be late."""

    numbers = st.integers(0, HOSTS - 1)
    targets = st.sampled_from(sorted(TARGETS))

    def __init__(self):
        super().__init__()
        self.now = timedelta(0)
        self.objects = FakeObjects()
        self.engines = {name: FakeEngine(checks) for name, checks in TARGETS.items()}
        self.starts = 0
        self.daemons = [self._start(number) for number in range(HOSTS)]
        self.listed = {d.host: d.incarnation for d in self.daemons}
        self.acks = {}
        self.wanted = ()
        self.late = []
        self.changes = 0

    def _start(self, number):
        self.starts += 1
        daemon = Daemon(number, self.starts)
        if self.starts > HOSTS:
            # A daemon accepts requests only once it has read the orders.
            self._read_orders(daemon)
        return daemon

    # The planner

    def _make_inputs(self, daemon):
        lease = daemon.process.lease
        return PlannerInputs(
            fence=lease.value.fence if daemon.is_valid(self.now) else None,
            wanted=self.wanted,
            daemons=dict(self.listed),
            acks=tuple(self.acks.values()),
            checks_fencing=TARGETS,
            quarantine=QUARANTINE,
        )

    def _step(self, daemon, event):
        effect = step_orders(daemon.planner, event, self._make_inputs(daemon), self.now)
        daemon.call = effect if effect is not None else daemon.call

    def keep_lease(self, number):
        process = self.daemons[number].process
        process.apply(leases.LeaseTick(), self.now)
        while process.call is not None:
            process.make_call(self.objects, CallOutcome.ANSWERED, self.now)

    def tick(self, number):
        self._step(self.daemons[number], OrdersTick())

    @rule(number=numbers, call_outcome=st.sampled_from(CALL_OUTCOMES))
    def make_call(self, number, call_outcome):
        daemon = self.daemons[number]
        if isinstance(daemon.call, SendOrder):
            self._check(daemon)
        elif daemon.call is not None:
            call, daemon.call = daemon.call, None
            self._step(daemon, self._answer(call, call_outcome))

    def _answer(self, call, call_outcome):
        if isinstance(call, ReadOrders):
            return ObjectRead(self.objects.read("orders", call_outcome))
        if isinstance(call, WriteOrders):
            return ObjectWritten(
                self.objects.write("orders", call.body, call.if_version, call_outcome)
            )
        assert isinstance(call, FetchState)
        if call_outcome is not CallOutcome.ANSWERED:
            return StateFetched(LOST)
        running = sum(d.world.targets[call.target].own_requests for d in self.daemons)
        return StateFetched(self.engines[call.target].state(running))

    def _check(self, daemon):
        call, daemon.call = daemon.call, None
        clock = self.now + daemon.process.offset
        if orders_rules.may_send(daemon.process.lease, call.lease_fence, clock):
            daemon.checked = (call, self.now)
        else:
            self._step(daemon, OrderSent(UNSENT))

    @rule(number=numbers, call_outcome=st.sampled_from(CALL_OUTCOMES))
    def send(self, number, call_outcome):
        daemon = self.daemons[number]
        if daemon.checked is None:
            return
        (call, at), daemon.checked = daemon.checked, None
        if call_outcome is CallOutcome.LATE:
            self.late.append((call, at))
        answer = UNSENT if call_outcome is CallOutcome.UNAVAILABLE else LOST
        if call_outcome in (CallOutcome.ANSWERED, CallOutcome.ANSWER_LOST):
            outcome = self._deliver(call)
            answer = Ok(outcome) if call_outcome is CallOutcome.ANSWERED else LOST
        self._step(daemon, OrderSent(answer))

    @rule()
    def deliver_late(self):
        if self.late:
            self._deliver(self.late.pop(0)[0])

    def _deliver(self, call):
        return self.engines[call.target].offer(
            call.order, lambda order: self._check_effect(call.target, order)
        )

    def _check_effect(self, target, order):
        """Check, with full knowledge of the system, an order that takes effect now."""
        self.changes += 1
        stored = decode_orders(self.objects.objects["orders"].body)
        intent = drains.find_open_intent(stored)
        assert intent is not None, f"{order} after its end"
        assert intent.phase is IntentPhase.ORDERED, f"{order} too early"
        assert intent.id == order.id, f"{order} instead of {intent}"
        running = [d.world.targets[target].own_requests for d in self.daemons]
        assert not any(running), f"{order} cuts off {running}"

    @rule(
        number=numbers,
        calls=st.integers(1, 24),
        load=st.sampled_from(["none", "busy", "quiet", "quiet"]),
        finishes=st.booleans(),
        call_outcome=st.sampled_from(
            [CallOutcome.ANSWERED, CallOutcome.ANSWERED, CallOutcome.LATE]
        ),
    )
    def work(self, number, calls, load, finishes, call_outcome):
        """Make some calls; ``call_outcome`` applies to the first order sent.

        The last call may stay unanswered.
        """
        daemon = self.daemons[number]
        for _ in range(calls):
            self.keep_lease(number)
            if load != "none":
                self._end_all()
            if daemon.checked is not None:
                self.send(number, call_outcome)
                call_outcome = CallOutcome.ANSWERED
            elif daemon.call is not None:
                self.make_call(number, CallOutcome.ANSWERED)
            else:
                self._wait(timedelta(seconds=1))
                self.tick(number)
            if load == "busy":
                self._start_all()
            if load == "quiet":
                self.read_and_acknowledge()
            if finishes:
                self.finish_change("ignores")
                self.finish_change("checks")

    @rule(
        number=numbers,
        checked=st.booleans(),
        sleep=st.sampled_from([TERM, QUARANTINE + TERM]),
        crashes=st.booleans(),
        wants_more=st.booleans(),
    )
    def sleep_before_the_send(self, number, checked, sleep, crashes, wants_more):
        """Let another planner take over while one is suspended before its send."""
        daemon = self.daemons[number]
        for _ in range(24):
            if isinstance(daemon.call, SendOrder) or daemon.checked:
                break
            self.work(number, 1, "quiet", True, CallOutcome.ANSWERED)
        if checked:
            self.make_call(number, CallOutcome.ANSWERED)
        other = (number + 1) % HOSTS
        self.keep_lease(other)
        self.wanted = self.wanted if wants_more else ()
        for _ in range(2):
            self._wait(sleep)
            self.work(other, 24, "quiet", True, CallOutcome.ANSWERED)
        if crashes:
            self.crash("checks")
        self.make_call(number, CallOutcome.ANSWERED)
        self.send(number, CallOutcome.ANSWERED)

    @rule(number=numbers, calls=st.integers(8, 24), crashes=st.booleans())
    def delay_an_order(self, number, calls, crashes):
        """Delay the first send of an order until after its repetition."""
        self.work(number, calls, "quiet", True, CallOutcome.LATE)
        if crashes:
            self.crash("checks")
        self.deliver_late()

    def _start_all(self):
        for number in range(HOSTS):
            for name in TARGETS:
                self.start_request(number, name)

    def _end_all(self):
        for name in TARGETS:
            self.end_requests(name)

    # The daemons

    def _read_orders(self, daemon):
        stored = self.objects.objects.get("orders")
        if stored is not None:
            orders = Orders("north", stored.version, stored.body)
            drains.apply_orders(daemon.world, daemon.view, orders, self.now)

    def read_orders(self, number):
        self._read_orders(self.daemons[number])

    def acknowledge(self, number):
        daemon = self.daemons[number]
        for ack in drains.list_acks(daemon.world, daemon.view, daemon.incarnation):
            self.acks[ack.host, ack.target] = ack

    @rule()
    def read_and_acknowledge(self):
        for number in range(HOSTS):
            self.read_orders(number)
            self.acknowledge(number)

    @rule(number=numbers, name=targets)
    def start_request(self, number, name):
        row = self.daemons[number].world.targets[name]
        if row.state is TargetState.SERVING:
            row.own_requests += 1

    @rule(name=targets)
    def end_requests(self, name):
        for daemon in self.daemons:
            daemon.world.targets[name].own_requests = 0

    # The environment

    @initialize(name=targets, value=st.sampled_from(ROLES))
    def require_at_first(self, name, value):
        self.require(name, value)

    @rule(name=targets, value=st.sampled_from(ROLES))
    def require(self, name, value):
        self.wanted = (RequiredChange(name, "role", value, 1.0, 0.0, "test"),)

    @rule(name=targets)
    def finish_change(self, name):
        self.engines[name].finish()

    @rule(name=targets)
    def crash(self, name):
        """Restart a target; one without fencing only if no order to it is pending."""
        pending = [d.checked for d in self.daemons] + self.late
        is_pending = any(p is not None and p[0].target == name for p in pending)
        if TARGETS[name] or not is_pending:
            self.engines[name].crash()

    @rule(step=st.sampled_from([timedelta(seconds=3), TERM, QUARANTINE + TERM]))
    def advance(self, step):
        self._wait(step)

    def _wait(self, step):
        self.now += step
        self._expire_orders()

    def _expire_orders(self):
        """Drop orders to a target without fencing that are older than the quarantine.

        The rules protect such a target only from senders that are suspended for less.
        """
        for daemon in self.daemons:
            if daemon.checked is not None and self._is_over_quarantine(daemon.checked):
                daemon.checked = None
                self._step(daemon, OrderSent(LOST))
        self.late = [late for late in self.late if not self._is_over_quarantine(late)]

    def _is_over_quarantine(self, pending):
        call, at = pending
        return not TARGETS[call.target] and self.now >= at + QUARANTINE

    @rule(number=numbers)
    def kill(self, number):
        self.daemons[number] = self._start(number)

    @rule()
    def refresh_list(self):
        self.listed = {d.host: d.incarnation for d in self.daemons}

    @rule()
    def apply_late_write(self):
        self.objects.apply_late_write()

    @invariant()
    def no_conflict(self):
        for engine in self.engines.values():
            assert not engine.conflicts, engine.conflicts


OrdersMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60)


class OrdersMachineTest(OrdersMachine.TestCase):
    pass


SEARCH = settings(
    max_examples=3000,
    stateful_step_count=60,
    phases=[Phase.generate],
    print_blob=False,
)


class OrdersMutationTest(TestCase):
    """The state machine must fail when a mechanism is disabled."""

    def _assert_required(self, module, name, mutant):
        with mock.patch.object(module, name, mutant):
            self.assertRaises(
                AssertionError,
                run_state_machine_as_test,
                OrdersMachine,
                settings=SEARCH,
            )

    def test_needs_every_acknowledgement(self):
        self._assert_required(
            orders_rules, "is_drained", lambda intent, daemons, acks: True
        )

    def test_needs_the_wait_for_earlier_senders(self):
        self._assert_required(
            orders_rules,
            "are_senders_expired",
            lambda planner, target, inputs, now: True,
        )

    def test_needs_the_end_of_an_order_read_back(self):
        with mock.patch.object(orders_rules, "is_idle", lambda state: True):
            self._assert_required(orders_rules, "has_ended", lambda intent, state: True)

    def test_needs_a_number_that_grows_with_each_send(self):
        self._assert_required(orders_rules, "number_order", lambda fence, sends: fence)

    def test_needs_a_number_that_grows_with_each_holder(self):
        self._assert_required(orders_rules, "number_order", lambda fence, sends: sends)

    def test_needs_the_check_before_the_send(self):
        self._assert_required(
            orders_rules, "may_send", lambda lease, lease_fence, now: True
        )
