"""`python broken.py RULE FILE`: serves a gateway that breaks one rule on purpose, to test that the audit
detects it."""

import sys

from petrelwood import ports
from petrelwood.cli.logs import open_log
from petrelwood.decide.cluster.membership import ListChange, Membership
from petrelwood.decide.delivery import send_outcome
from petrelwood.decide.scheduling import scheduler as scheduler_module
from petrelwood.decide.scheduling.queueing import Queueing
from petrelwood.decide.scheduling.records import Copy
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch import serve
from petrelwood.dispatch.activations import Activations
from petrelwood.dispatch.dispatcher import Dispatcher
from petrelwood.settings import gateway


class Drops(Scheduler):
    """Breaks rule 1: drops every tenth activation."""

    seen = 0

    def activation_arrived(self, *args):
        Drops.seen += 1
        if Drops.seen % 10:
            super().activation_arrived(*args)


class Chases(Scheduler):
    """Breaks rule 1: sends an activation again after its final answer."""

    def attempt_ended(self, now, end):
        super().attempt_ended(now, end)
        core, link = self.actions.outlet.core, self.actions.outlet.links[end.worker]
        core.loop.call_later(
            1.0,
            link.run,
            end.activation_id,
            end.attempt + 1,
            "applicant-1",
            "mittelland/late",
            10**9,
            4,
            b"{}",
        )


class Floods(Queueing):
    """Breaks rule 4: sends every activation to a worker that has just started."""

    def enqueue(self, act, now, is_retry=False):
        cold = next((w for w in self.placement.order.fleet.usable if w.booted), None)
        if cold is None or act.attempts:
            return super().enqueue(act, now, is_retry)
        self.actions.send(act, act.function.copies.setdefault(cold.id, Copy(cold, now, now)), now)


class Orders(Scheduler):
    """Breaks rule 5: orders a load for every second activation."""

    seen = 0

    def activation_arrived(self, now, arrival):
        super().activation_arrived(now, arrival)
        Orders.seen += 1
        if Orders.seen % 2 and self.fleet.usable:
            self.actions.outlet.order_load(
                self.fleet.usable[Orders.seen % len(self.fleet.usable)].id, arrival.function, 1
            )


def break_rule(name):
    """Patch the program so that it breaks a rule; return the scheduler to run."""
    if name == "forgets":
        Activations._abort_overdue = lambda self, act_id: None
        return Drops
    if name == "chases":
        # a link checks both again before each send, and would drop activations that have ended
        Dispatcher.still_wanted = lambda self, activation_id: True
        Dispatcher.may_attempt_leave = lambda self, activation_id, attempt, worker: True
        return Chases
    if name == "repeats":
        # reports every lost send as one that never ran
        send_outcome.of_loss = lambda stage: ports.EndReason.NO_CONNECTION
    elif name == "ignores drains":
        Membership.is_usable = lambda self, worker: True
        original_apply = Membership._apply

        def apply_as_usable(self, entries, now, wall):
            return ListChange(
                [e._replace(usable=True) for e in original_apply(self, entries, now, wall).listed], []
            )

        Membership._apply = apply_as_usable
    elif name == "floods":
        scheduler_module.Queueing = Floods
    elif name == "orders":
        return Orders
    return Scheduler


if __name__ == "__main__":
    scheduler = break_rule(sys.argv[1])
    sys.exit(serve.run(gateway.read(sys.argv[2]), open_log("json"), serve.ServeOptions(scheduler)))
