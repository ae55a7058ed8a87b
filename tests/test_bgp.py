"""BGP: malformed messages, sessions of neighbours in simulated time, service health, and routing tables.

Reviewers read the expected event traces.
"""

import random
import struct
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from kept import compare

from petrelwood.decide.bgp import announcement, neighbor, service_health
from petrelwood.decide.bgp.routing_table import RouteLimitError, RoutingTable
from petrelwood.wire import bgp

S = 10**9
FAMILIES = ((bgp.IPV4, bgp.UNICAST), (bgp.IPV6, bgp.UNICAST))
PREFIX = bgp.prefix("192.0.2.1/32")


def attrs(path=(65001,), hop="7f000001", med=None, communities=()):
    return bgp.Attrs(0, ((bgp.SEQUENCE, tuple(path)),), bytes.fromhex(hop), med, tuple(communities))


def read(data, four=True, most=bgp.MOST):
    reader, found = bgp.Reader(), []
    reader.most = most
    for kind, body in reader.feed(data):
        found.append(
            bgp.read_update(body, four)
            if kind == bgp.UPDATE
            else bgp.read_open(body)
            if kind == bgp.OPEN
            else bgp.read_notification(body)
            if kind == bgp.NOTIFICATION
            else kind
        )
    return found


nets = st.one_of(
    st.tuples(st.binary(min_size=4, max_size=4), st.integers(0, 32)).map(lambda t: (bgp.IPV4, *t)),
    st.tuples(st.binary(min_size=16, max_size=16), st.integers(0, 128)).map(lambda t: (bgp.IPV6, *t)),
)


def masked(found):
    afi, raw, length = found
    bits = len(raw) * 8
    return (
        afi,
        (int.from_bytes(raw, "big") >> (bits - length) << (bits - length)).to_bytes(len(raw), "big"),
        length,
    )


class Messages(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(nets.map(masked), max_size=300, unique=True),
        st.lists(nets.map(masked), max_size=300, unique=True),
        st.booleans(),
        st.lists(st.integers(1, (1 << 32) - 1), max_size=40),
        st.one_of(st.none(), st.integers(0, (1 << 32) - 1)),
        st.lists(st.integers(0, (1 << 32) - 1), max_size=70),
        st.booleans(),
    )
    def test_what_is_written_is_read(self, new, old, four, path, med, communities, extended):
        most = bgp.EXTENDED if extended else bgp.MOST
        for afi, hop in ((bgp.IPV4, "7f000001"), (bgp.IPV6, "00" * 15 + "01")):
            given_ = bgp.Attrs(
                2, ((bgp.SEQUENCE, tuple(path)),) if path else (), bytes.fromhex(hop), med, tuple(communities)
            )
            mine, gone = [p for p in new if p[0] == afi], [p for p in old if p[0] == afi]
            raw = bgp.updates(mine, given_, gone, four, most)
            self.assertTrue(all(len(one) <= most for one in raw))
            found = read(b"".join(raw), four, most)
            self.assertEqual([p for u in found for p in u.withdrawn], gone)
            self.assertEqual([p for u in found for p in u.announced], mine)
            for update in found:
                self.assertEqual(update.notes, ())
                if update.announced:
                    self.assertEqual(update.attrs, given_)

    def test_an_update_filled_to_the_last_octet_and_one_past_it(self):
        prefixes = [(bgp.IPV4, struct.pack("!I", (10 << 24) + i), 32) for i in range(3000)]
        raw = bgp.updates(prefixes, attrs(), (), True)
        self.assertEqual(max(map(len, raw)) > 4096 - 5, True)
        body = b"\0\0" + b"\0\0" + b"\x18\x0a\0\0" * 1018 + b"\0"
        whole = bgp.message(bgp.UPDATE, body)  # 4,096 octets exactly
        self.assertEqual(len(whole), 4096)
        self.assertIsInstance(read(whole)[0], bgp.Update)
        with self.assertRaises(ValueError):
            bgp.message(bgp.UPDATE, body + b"\0")
        over = bgp.MARKER + struct.pack("!HB", 4097, bgp.UPDATE) + body + b"\0"
        with self.assertRaises(bgp.Wrong) as caught:
            read(over)
        self.assertEqual((caught.exception.code, caught.exception.sub), (1, 2))
        self.assertEqual(len(read(over, most=bgp.EXTENDED)), 1)  # RFC 8654
        with self.assertRaises(bgp.Wrong):  # never an OPEN
            read(bgp.MARKER + struct.pack("!HB", 4097, bgp.OPEN) + bytes(5000), most=bgp.EXTENDED)

    def test_whatever_comes_is_a_message_or_a_fault_with_a_name(self):
        chance, faults = random.Random(5), {}
        seeds = [
            bgp.open_message(4_200_000_000, 9, 7, FAMILIES, bgp.CUSTOMER),
            bgp.notification(6, 2, bgp.shutdown_text("drained")),
            *bgp.updates(
                [PREFIX, bgp.prefix("10.0.0.0/8")],
                attrs((65001, 70000), communities=(1, 2), med=5),
                [PREFIX],
                True,
            ),
            *bgp.updates(
                [bgp.prefix("2001:db8::/32")], attrs(hop="00" * 16), [bgp.prefix("2001:db8::1/128")], True
            ),
        ]
        for _ in range(20_000):
            data = bytearray(chance.choice(seeds))
            for _ in range(chance.randrange(4)):
                how, at = chance.randrange(4), chance.randrange(len(data))
                if how == 0:
                    data[at] ^= 1 << chance.randrange(8)
                elif how == 1:
                    del data[at : at + chance.randrange(1, 9)]
                elif how == 2:
                    data[at:at] = chance.randbytes(chance.randrange(1, 9))
                else:
                    data[at] = chance.choice((0, 1, 127, 255))
                if not data:
                    data = bytearray(b"\0")
            # Most messages get a valid header, otherwise only the header would be tested.
            if chance.random() < 0.7 and len(data) >= 19:
                data[:16] = bgp.MARKER
                data[16:18] = struct.pack("!H", len(data))
            try:
                read(bytes(data), chance.random() < 0.8)
                faults["none"] = faults.get("none", 0) + 1
            except bgp.Wrong as fault:
                faults[fault.code, fault.sub] = faults.get((fault.code, fault.sub), 0) + 1
        self.assertGreater(len(faults), 8, faults)

    def test_faults_in_attributes_take_routes_back_or_end_the_session(self):
        """Error handling of RFC 7606 for each attribute."""
        lines = []
        good = {
            1: (0x40, b"\0"),
            2: (0x40, b"\2\1\0\0\xfd\xe9"),
            3: (0x40, b"\x7f\0\0\1"),
            4: (0x80, b"\0\0\0\1"),
            8: (0xC0, b"\0\0\0\1"),
        }
        cases = [
            ("as it should be", {}),
            ("origin of 3", {1: (0x40, b"\3")}),
            ("origin of two octets", {1: (0x40, b"\0\0")}),
            ("origin optional", {1: (0xC0, b"\0")}),
            ("no origin", {1: None}),
            ("no path", {2: None}),
            ("no next hop", {3: None}),
            ("path cut", {2: (0x40, b"\2\2\0\0\xfd\xe9")}),
            ("path of an empty segment", {2: (0x40, b"\2\0")}),
            ("next hop of 5 octets", {3: (0x40, b"\x7f\0\0\1\0")}),
            ("MED of 3", {4: (0x80, b"\0\0\1")}),
            ("MED transitive", {4: (0xC0, b"\0\0\0\1")}),
            ("communities of 5", {8: (0xC0, b"\0\0\0\1\0")}),
            ("no communities in it", {8: (0xC0, b"")}),
            ("aggregator of 7", {7: (0xC0, bytes(7))}),
            ("atomic of 1", {6: (0x40, b"\1")}),
            ("unknown and optional", {99: (0xC0, b"xyz")}),
            ("unknown and well-known", {99: (0x40, b"x")}),
            ("IPv6 with a next hop of 5", {14: (0x80, b"\0\2\1\5\0\0\0\0\0\0\0")}),
            ("IPv6 of 129 bits", {14: (0x80, b"\0\2\1\x10" + bytes(17) + b"\x81")}),
            ("a family not ours", {14: (0x80, b"\0\1\x80\4\1\2\3\4\0")}),
            ("IPv6 taken back, cut", {15: (0x80, b"\0\2")}),
        ]
        for name, change in cases:
            made = b"".join(
                bytes((flags, kind, len(value))) + value
                for kind, (flags, value) in sorted(
                    (k, v) for k, v in {**good, **change}.items() if v is not None
                )
            )
            body = b"\0\0" + struct.pack("!H", len(made)) + made + b"\x20\xc0\0\2\1"
            try:
                found = bgp.read_update(body, True)
                lines.append(
                    f"{name}: announced {len(found.announced)}, withdrawn {len(found.withdrawn)}"
                    + "".join(f"; {n}" for n in found.notes)
                )
            except bgp.Wrong as fault:
                lines.append(f"{name}: NOTIFICATION {fault.code}/{fault.sub} {fault}")
        compare(self, "bgp_faults", lines)

    def test_two_octets_and_four(self):
        given_ = attrs((65001, 4_200_000_000, 7))
        found = read(b"".join(bgp.updates([PREFIX], given_, (), False)), False)[0]
        self.assertEqual(found.attrs.path, given_.path)
        text = "warten, bitte \u2014 " * 30
        cut = bgp.Notification(6, 2, bgp.shutdown_text(text)).text()
        self.assertTrue(text.startswith(cut) and len(cut.encode()) > 250)
        self.assertEqual(bgp.Notification(6, 2, b"\3a\x1bb").text(), "a?b")


SYN = b"a connection is asked for"


class Wire:
    """Two neighbours and the connections between them, with one simulated clock."""

    def __init__(self, a=None, b=None, seed=1):
        self.now, self.lines, self.in_transit, self.chance = 0, [], [], random.Random(seed)
        self.ends = {}
        for name, terms in (("A", a or terms_of(65001, 65000, 1)), ("B", b or terms_of(65000, 65001, 2))):
            end = self.ends[name] = Side(self, name)
            end.neighbor = neighbor.Neighbor(terms, end, self.chance.random)

    def other(self, name):
        return self.ends["B" if name == "A" else "A"]

    def say(self, name, what):
        self.lines.append(f"{self.now / S:7.2f}  {name} {what}")

    def connect_to(self, ours, theirs):
        """Deliver a connection attempt of one side to the other."""
        if not theirs.neighbor.running:
            ours.neighbor.connect_failed(self.now)
            return
        taken = theirs.neighbor.connection_made(self.now, neighbor.Opener.PEER)
        if not ours.neighbor.connection_made(self.now, neighbor.Opener.US):
            self.in_transit.append((theirs.name, neighbor.Opener.US, None))
        elif not taken:
            self.in_transit.append((ours.name, neighbor.Opener.PEER, None))

    def run(self, until, unreachable=()):
        """Advance the time, and deliver bytes with a delay of ten ms in each direction."""
        while self.now < until:
            self.now += S // 100
            going, self.in_transit = self.in_transit, []
            for to, key, data in going:
                if to in unreachable:
                    if data == SYN:  # no answer, so the attempt times out
                        self.other(to).neighbor.connect_failed(self.now)
                    continue
                other_key = neighbor.Opener.PEER if key == neighbor.Opener.US else neighbor.Opener.US
                if data == SYN:
                    self.connect_to(self.other(to), self.ends[to])
                elif data is None:
                    self.ends[to].neighbor.connection_lost(self.now, other_key)
                else:
                    self.ends[to].neighbor.data_received(self.now, other_key, data)
            for name, end in self.ends.items():
                if name not in unreachable:
                    end.neighbor.check_timers(self.now)


def terms_of(asn, peer, id_, **more):
    made = {"hold": 9, "families": FAMILIES, **more}
    return neighbor.NeighborTerms(asn, peer, id_, **made)


class Side:
    def __init__(self, wire, name):
        self.wire, self.name, self.ups, self.updates = wire, name, 0, []

    def connect(self):
        self.wire.say(self.name, "connects")
        self.wire.in_transit.append((self.wire.other(self.name).name, neighbor.Opener.US, SYN))

    def write(self, key, data):
        kind = data[18]
        if kind != bgp.KEEPALIVE:
            words = bgp.read_notification(data[19:]) if kind == bgp.NOTIFICATION else None
            self.wire.say(
                self.name,
                f"{bgp.NAMES[kind]} on {key}"
                + (f" {words.code}/{words.sub} {words.text()}" if words else ""),
            )
        self.wire.in_transit.append((self.wire.other(self.name).name, key, data))

    def close(self, key):
        self.wire.in_transit.append((self.wire.other(self.name).name, key, None))

    def resend_routes(self, afi):
        self.wire.say(self.name, f"is asked for family {afi} again")

    def session_established(self, found):
        self.ups += 1
        self.wire.say(self.name, f"is up with AS {found.asn}, hold {self.neighbor.established.hold}")

    def session_ended(self, why):
        self.wire.say(self.name, f"is down: {why}")

    def update_received(self, update):
        self.updates.append(update)


class Neighbors(unittest.TestCase):
    def started(self, *args, **more):
        wire = Wire(*args, **more)
        for end in wire.ends.values():
            end.neighbor.start(0)
        return wire

    def test_both_connect_at_once_and_one_connection_stays(self):
        for ids in ((1, 2), (2, 1)):
            wire = self.started(terms_of(65001, 65000, ids[0]), terms_of(65000, 65001, ids[1]))
            wire.run(2 * S)
            keys = {
                name: end.neighbor.established and end.neighbor.established.key
                for name, end in wire.ends.items()
            }
            self.assertEqual(
                keys,
                {"A": neighbor.Opener.US, "B": neighbor.Opener.PEER}
                if ids[0] > ids[1]
                else {"A": neighbor.Opener.PEER, "B": neighbor.Opener.US},
            )
            self.assertTrue(all(len(end.neighbor.connections) == 1 for end in wire.ends.values()))
        compare(self, "bgp_collision", wire.lines)

    def test_a_life_of_a_session(self):
        wire = self.started(terms_of(65001, 65000, 1), terms_of(65000, 65001, 2, passive=True, hold=3))
        wire.run(20 * S)  # KEEPALIVEs keep the session up
        self.assertEqual([e.ups for e in wire.ends.values()], [1, 1])
        wire.run(24 * S, unreachable=("B",))  # B hangs: A must notice within the hold time
        wire.run(27 * S)
        wire.ends["A"].neighbor.stop(wire.now, bgp.SHUTDOWN, "drained")
        wire.run(29 * S)
        compare(self, "bgp_session", wire.lines)
        self.assertEqual(wire.ends["A"].neighbor.state, neighbor.State.IDLE)

    def test_who_does_not_fit_is_told_why_and_tried_ever_less(self):
        lines = []
        for name, terms in (
            ("another AS", terms_of(65009, 65001, 2, passive=True)),
            ("our identifier", terms_of(65001, 65001, 1, passive=True)),
            ("both customers", terms_of(65000, 65001, 2, passive=True, role=bgp.CUSTOMER)),
            ("a hold time of 1", terms_of(65000, 65001, 2, passive=True, hold=1)),
            ("a hold time of 0", terms_of(65000, 65001, 2, passive=True, hold=0)),
            ("a hold time of 3", terms_of(65000, 65001, 2, passive=True, hold=3)),
        ):
            wire = self.started(
                terms_of(65001, 65001 if name == "our identifier" else 65000, 1, role=bgp.CUSTOMER), terms
            )
            wire.run(40 * S)
            tries = sum("A connects" in line for line in wire.lines)
            why = next((line[9:] for line in wire.lines if "NOTIFICATION" in line), "")
            up = wire.ends["A"].neighbor.established
            lines.append(
                f"{name}: {f'up, hold {up.hold}' if up else why}; "
                f"{'once' if tries == 1 else 'again and again'}"
            )
            self.assertEqual(bool(up), tries == 1)
            self.assertLess(tries, 12)
        compare(self, "bgp_misfits", lines)

    def test_walks_over_bad_wires_end_up_or_down_and_never_both(self):
        for seed in range(60):
            chance = random.Random(seed)
            wire = self.started(seed=seed)
            for _ in range(20):
                wire.run(
                    wire.now + chance.randrange(S // 50, 3 * S),
                    unreachable=chance.choice(((), (), ("A",), ("B",))),
                )
                if wire.in_transit and chance.random() < 0.5:
                    at = chance.randrange(len(wire.in_transit))
                    to, key, data = wire.in_transit[at]
                    if data and data != SYN:
                        bent = bytearray(data)
                        bent[chance.randrange(len(bent))] ^= 1 << chance.randrange(8)
                        wire.in_transit[at] = to, key, bytes(bent)
                if chance.random() < 0.3:
                    end = wire.ends[chance.choice("AB")]
                    for key in list(end.neighbor.connections):
                        end.neighbor.connection_lost(wire.now, key)
                        end.close(key)
                for end in wire.ends.values():
                    states = [c.state for c in end.neighbor.connections.values()]
                    self.assertLessEqual(states.count(neighbor.State.ESTABLISHED), 1)
                    self.assertEqual(
                        end.neighbor.counts["up"] - end.neighbor.counts["down"],
                        states.count(neighbor.State.ESTABLISHED),
                    )
            wire.run(wire.now + 150 * S)  # the session recovers after all faults
            self.assertTrue(
                all(end.neighbor.established for end in wire.ends.values()), (seed, wire.lines[-9:])
            )


class Serves(unittest.TestCase):
    HEALTHY = service_health.HealthReport(False, 0, 9, 100, 0, 0, True)
    BOUNDS = service_health.HealthBounds(S * 3 // 20, 30 * S, S // 2, S)

    def play(self, steps, every=S // 20):
        """Play steps of (seconds, report or None for no heartbeat, whether other announcements are seen)."""
        made, lines, now = service_health.ServiceHealth(self.BOUNDS, 0), [], 0
        for seconds, facts, others in steps:
            for _ in range(round(seconds * S / every)):
                now += every
                if facts is not None:
                    made.heartbeat(now, facts)
                if made.update(now, others):
                    lines.append(f"{now / S:7.2f}  {made.level:5s} {made.reason}")
        return lines, made

    def test_late_on_early_off(self):
        f = self.HEALTHY
        lines, _ = self.play(
            [
                (0.3, None, False),
                (2, f, False),
                (1, None, False),
                (3, f, False),
                (1, f._replace(closing=True), False),
                (4, f, False),
                (0.5, f._replace(stalled=S), True),
                (6, f, True),
                (0.5, f._replace(list_age=40 * S), True),
                (0.2, f._replace(is_durable=False), True),
                (12, f, True),
            ]
        )
        compare(self, "serving_own", lines)

    def test_what_may_be_everyones_never_takes_the_last_one_away(self):
        f, unhealthy = self.HEALTHY, self.HEALTHY._replace(usable_workers=0)
        lines, made = self.play(
            [
                (2, f, False),
                (2, unhealthy, False),
                (2, unhealthy, True),
                (1, unhealthy, False),
                (3, f, True),
                (1, f._replace(completed=10, failed=90), False),
                (1, f._replace(completed=70, failed=30), False),
                (3, f, False),
            ]
        )
        compare(self, "serving_shared", lines)
        self.assertEqual(made.level, service_health.ServiceLevel.FULL)

    def test_flapping_is_damped_and_forgiven(self):
        f, lines = self.HEALTHY, []
        steps = [(2, f, True)]
        for _ in range(12):
            steps += [(0.5, None, True), (4, f, True)]
        lines, made = self.play([*steps, (400, f, True)])
        self.assertLess(made.withdrawals, 7, lines)  # after twelve hangs
        self.assertEqual(made.level, service_health.ServiceLevel.FULL)

    def test_all_ill_at_once_and_one_stays_whatever_the_order(self):
        """Many speakers, and a router that sends each the best path of another one.

        The address is never without an announcement for more than one step.
        """
        for seed in range(8):
            chance, count = random.Random(seed), random.Random(seed).choice((2, 4, 30))
            nodes, table, update = (
                [service_health.ServiceHealth(self.BOUNDS, 0) for _ in range(count)],
                RoutingTable(),
                announcement.Service(PREFIX, b"\x7f\0\0\1", (), None, 1000, 3),
            )
            told, gone, unhealthy = [None] * count, 0, [False] * count
            for step in range(600):
                now = step * S // 20
                if step > 200 and step % 10 == 0:
                    unhealthy = (
                        [chance.random() < 0.7 if step < 300 else True for _ in range(count)]
                        if step < 500
                        else [False] * count
                    )
                for i in chance.sample(range(count), count):
                    others = any(
                        not announcement.is_reduced(a) for peer, a in table.best(PREFIX)[:1] if peer != i
                    )
                    nodes[i].heartbeat(now, self.HEALTHY._replace(usable_workers=0 if unhealthy[i] else 5))
                    nodes[i].update(now, others)
                    want = announcement.attributes(
                        update._replace(next_hop=bytes((127, 0, 0, i))), nodes[i].level, 65001
                    )
                    if want != told[i]:
                        told[i] = want
                        table.apply(
                            i, bgp.Update(() if want else (PREFIX,), (PREFIX,) if want else (), want, ())
                        )
                if step > 60:
                    gone = gone + 1 if not table.best(PREFIX) else 0
                    self.assertLessEqual(gone, 1, (seed, step))


class Tables(unittest.TestCase):
    def test_the_best_and_what_shares_with_it(self):
        table = RoutingTable()

        def announce(peer, found):
            table.apply(peer, bgp.Update((), (PREFIX,), found, ()))

        announce(1, attrs((65001,)))
        announce(2, attrs((65001,)))
        announce(3, attrs((65001, 65001)))
        self.assertEqual([p for p, _ in table.best(PREFIX)], [1, 2])
        announce(1, attrs((65001,), med=10))
        self.assertEqual([p for p, _ in table.best(PREFIX)], [2])
        announce(2, attrs((65001,), communities=(bgp.GRACEFUL_SHUTDOWN,)))
        self.assertEqual([p for p, _ in table.best(PREFIX)], [1])
        table.remove_peer(1)
        self.assertEqual([p for p, _ in table.best(PREFIX)], [3])
        table.apply(3, bgp.Update((PREFIX,), (), None, ()))
        self.assertEqual([p for p, _ in table.best(PREFIX)], [2])
        small = RoutingTable(max_paths=1)
        small.apply(1, bgp.Update((), (PREFIX,), attrs(), ()))
        with self.assertRaises(RouteLimitError):
            small.apply(2, bgp.Update((), (PREFIX,), attrs(), ()))

    def test_resilient_flows_move_only_where_they_must(self):
        moved = {}
        for resilient in (False, True):
            table = RoutingTable()
            for peer in range(8):
                table.apply(peer, bgp.Update((), (PREFIX,), attrs(), ()))
            before = {flow: table.pick(PREFIX, flow, resilient) for flow in range(2000)}
            table.remove_peer(3)
            moved[resilient] = sum(
                before[f] != table.pick(PREFIX, f, resilient) for f in before if before[f] != 3
            )
        self.assertEqual(moved[True], 0)
        self.assertGreater(moved[False], 1000)


if __name__ == "__main__":
    unittest.main()
