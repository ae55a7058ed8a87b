"""Who comes back when: hints that grow for those who do not listen, and a budget for those who do not wait.

What was turned away is remembered by its id, with the time it was told to stay away. It may come back at that
time or later: then it has listened, and is treated as a first. Before that it is early. Early ones live on a
budget: a part of a repeat for each first of the same customer, so that a customer who retries at once can
only wear out his own. The hint doubles each time an id comes early, and is drawn over its whole width, so
that those refused together do not come back together."""

from collections import OrderedDict

from petrelwood.decide.overload.backoff import Budget

FIRST, LISTENED, EARLY = "first", "listened", "early"
PART, KEPT = 0.1, 10.0  # repeats for each first of a customer, and how many may be saved
DOUBLES = 5  # times at most that a hint is doubled
SLACK = 20_000_000  # ns that a client's clock may be ahead of the hint
DEAF = 1 / 32  # how fast a customer's share of early comers follows


class Customer:
    __slots__ = ("budget", "deaf")

    def __init__(self):
        self.budget, self.deaf = Budget(PART, KEPT), 0.0


class RetryPolicy:
    """`most`: ids and customers that are remembered. Times in ns."""

    def __init__(self, most):
        self.most, self.told, self.customers = most, OrderedDict(), OrderedDict()
        self.counts = {FIRST: 0, LISTENED: 0, EARLY: 0, "over budget": 0}

    def _customer(self, name):
        found = self.customers.get(name)
        if found is None:
            found = self.customers[name] = Customer()
            if len(self.customers) > self.most:
                self.customers.popitem(last=False)
        return found

    def comes(self, now, customer, key):
        """How this id comes: `FIRST`, `LISTENED` or `EARLY`."""
        whom, told = self._customer(customer), self.told.get((customer, key))
        if told is None:
            how = FIRST
            whom.budget.earn()
        elif now + SLACK >= told[0]:
            how = LISTENED
            whom.deaf -= DEAF * whom.deaf
        else:
            how = EARLY
            whom.deaf += DEAF * (1 - whom.deaf)
        self.counts[how] += 1
        return how

    def may(self, customer):
        """Whether an early one may go on; it is then paid for."""
        if self._customer(customer).budget.spend():
            return True
        self.counts["over budget"] += 1
        return False

    def hint(self, now, customer, key, wait, chance, most, early):
        """When this id should come back, ns from now, after `wait` at the least for one that listens;
        remembered."""
        told = self.told.pop((customer, key), None)
        times = min(DOUBLES, told[1] + 1 if early else told[1]) if told else 0
        first = told[2] if told else now
        width = wait * (1 << times)
        found = min(most, int(width * (0.5 + chance())))
        self.told[customer, key] = (now + found, times, first)
        if len(self.told) > self.most:
            self.told.popitem(last=False)
        return found

    def since(self, now, customer, key):
        """How long ago this id was turned away for the first time, ns; 0: never, or it was taken since."""
        told = self.told.get((customer, key))
        return now - told[2] if told else 0

    def settled(self, customer, key):
        """It was taken: what it was told is of no use any more."""
        self.told.pop((customer, key), None)

    def deaf(self, customer):
        """The share of this customer's repeats that come early, 0 to 1."""
        found = self.customers.get(customer)
        return found.deaf if found else 0.0
