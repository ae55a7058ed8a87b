"""Stand-in devices: customers' MQTT sessions that publish activations and wait for their answers.

Repeatable activations are published with QoS 1, all others with QoS 2. Each message has a Response Topic,
Correlation Data and its patience as Message Expiry Interval. Each message and each answer is recorded.
"""

import asyncio
import socket
import time

import orjson
from tornado.iostream import IOStream, StreamClosedError

from petrelwood.links import packets as mqtt
from petrelwood.standins import host
from petrelwood.standins.portal import Choice
from petrelwood.standins.records import Records


class Device:
    """One session. It reconnects by itself, and sends again what the broker has not acknowledged.

    `on_answer(packet)` is called for each message received; `unacked` holds the unacknowledged packets by id,
    None once only the PUBCOMP is missing.
    """

    def __init__(self, address, name, user, password, on_answer):
        self.address, self.name, self.user, self.password, self.on_answer = (
            address,
            name,
            user,
            password,
            on_answer,
        )
        self.reply, self.stream, self.up, self.unacked, self.last = f"reply/{user}/{name}", None, False, {}, 0
        self.ready = asyncio.Event()

    async def keep(self, random=None):
        """Keep the session connected until cancelled. `random()` varies the pause before a reconnection."""
        while True:
            try:
                await self._follow()
            except (TimeoutError, StreamClosedError, OSError, mqtt.MqttError):
                pass
            self.up = False
            self.stream.close()
            await asyncio.sleep(0.05 + 0.4 * (random() if random else 0.5))

    async def _follow(self):
        self.stream, reader = IOStream(socket.socket()), mqtt.Reader()
        await asyncio.wait_for(self.stream.connect(self.address), 2)
        self.stream.set_nodelay(True)
        self.send(
            mqtt.Packet(
                mqtt.CONNECT,
                client=self.name,
                clean=0,
                keep_alive=30,
                user=self.user,
                password=self.password,
                props={"session_expiry": 60},
            )
        )
        while True:
            data = await (
                self.stream.read_bytes(65536, partial=True)
                if self.up
                else asyncio.wait_for(self.stream.read_bytes(65536, partial=True), 2)
            )
            for packet in reader.feed(data):
                self._packet(packet)

    def send(self, packet):
        """Send a packet, unless the connection is closed."""
        if not self.stream.closed():
            self.stream.write(mqtt.encode(packet)).add_done_callback(lambda done: done.exception())

    def _packet(self, p):
        if p.type == mqtt.CONNACK:
            if p.code:
                raise ValueError(f"the broker refused the connection: {p.code:#x}")
            self.up = True
            if not p.present:
                self.send(
                    mqtt.Packet(
                        mqtt.SUBSCRIBE, 65535, props={}, subscriptions=[mqtt.Subscription(self.reply, 2)]
                    )
                )
            else:
                self.ready.set()
            for id_, packet in self.unacked.items():
                if packet is not None:
                    packet.dup = 1
                self.send(packet or mqtt.Packet(mqtt.PUBREL, id_))
        elif p.type == mqtt.SUBACK:
            self.ready.set()
        elif p.type == mqtt.PUBLISH:
            self.on_answer(p)
            if p.qos:
                self.send(mqtt.Packet(mqtt.PUBACK if p.qos == 1 else mqtt.PUBREC, p.id))
        elif p.type == mqtt.PUBREL:
            self.send(mqtt.Packet(mqtt.PUBCOMP, p.id))
        elif p.type == mqtt.PUBREC and p.code < 0x80:
            if p.id in self.unacked:
                self.unacked[p.id] = None
            self.send(mqtt.Packet(mqtt.PUBREL, p.id))
        elif p.type in (mqtt.PUBACK, mqtt.PUBREC, mqtt.PUBCOMP):
            self.unacked.pop(p.id, None)

    def ask(self, type_, function, body, correlation, qos, expiry):
        """Publish an activation, now or once connected; one of QoS 0 is lost without a connection."""
        self.last = self.last % 60_000 + 1
        packet = mqtt.Packet(
            mqtt.PUBLISH,
            self.last if qos else 0,
            topic=f"act/{self.user}/{type_}/{function}",
            payload=body,
            qos=qos,
            dup=0,
            retain=0,
            props={"response_topic": self.reply, "message_expiry": expiry, "correlation_data": correlation},
        )
        if qos:
            self.unacked[self.last] = packet
        if self.up:
            self.send(packet)


class Devices:
    """All devices of a day, and the messages that they publish."""

    def __init__(self, day, address, timeouts, repeatable, records, seed):
        self.day, self.timeouts, self.repeatable, self.records, self.seed = (
            day,
            timeouts,
            repeatable,
            records,
            seed,
        )
        # `manners`: the random generator for behaviour; `waiting`: correlation -> when patience ends
        self.arrivals, self.choice = (
            host.random_stream(seed, "mqtt-arrivals"),
            Choice(day, host.random_stream(seed, "mqtt-picks")),
        )
        self.manners, self.last, self.waiting, self.counts = (
            host.random_stream(seed, "mqtt-manners"),
            0,
            {},
            {},
        )
        self.by_customer = {
            c.name: [
                Device(address, f"{c.name}-{i}", c.name, c.name.encode(), self.on_answer)
                for i in range(c.devices)
            ]
            for c in day.clients
            if c.by == "mqtt"
        }

    def on_answer(self, packet):
        """Record and count an answer."""
        correlation, user_properties = (
            packet.props.get("correlation_data", b"").hex(),
            dict(packet.props.get("user", ())),
        )
        self.records.put(
            "manswer",
            key=correlation,
            status=user_properties.get("status"),
            act=user_properties.get("activation"),
        )
        self.waiting.pop(correlation, None)
        self.counts[user_properties.get("status")] = self.counts.get(user_properties.get("status"), 0) + 1

    async def client(self, client, until):
        """Publish one customer's activations at random intervals, through random devices of it."""
        due = time.monotonic_ns()
        while due < until:
            due += int(self.arrivals.expovariate(self.day.rate * client.part) * 1e9)
            await asyncio.sleep(max(0, due - time.monotonic_ns()) / 1e9)
            kind, function, work = self.choice.draw(client)
            device = self.manners.choice(self.by_customer[client.name])
            self.last += 1
            correlation = f"{self.seed}-{self.last}".encode()
            qos = 1 if kind.type in self.repeatable else 2
            wait = min(client.patience or 60, int(self.timeouts[kind.type]))
            self.records.put(
                "mask",
                key=correlation.hex(),
                type=kind.type,
                fn=function,
                qos=qos,
                customer=client.name,
                patience=wait * 10**9,
            )
            self.waiting[correlation.hex()] = time.monotonic_ns() + wait * 10**9
            device.ask(
                kind.type, function, orjson.dumps({"work": work, "device": self.last}), correlation, qos, wait
            )


async def serve(day, address, timeouts, repeatable, folder, start, seed, tell=None):
    """Publish the day's messages from `start` on; return when all are answered or have expired.

    It waits for `day.settle` after the day at most. `tell` is called with the progress twice a second.
    """
    records = Records(folder, "devices")
    devices = Devices(day, address, timeouts, repeatable, records, seed)
    keeping = [
        asyncio.ensure_future(d.keep(devices.manners.random))
        for several in devices.by_customer.values()
        for d in several
    ]
    await asyncio.sleep(max(0, start - time.monotonic_ns()) / 1e9)
    until = start + day.length
    clients = [asyncio.ensure_future(devices.client(c, until)) for c in day.clients if c.by == "mqtt"]
    while time.monotonic_ns() < until + day.settle and (
        not all(c.done() for c in clients)
        or any(end > time.monotonic_ns() - 10**9 for end in devices.waiting.values())
    ):
        await asyncio.sleep(0.5)
        if tell:
            tell(
                {
                    "at": (time.monotonic_ns() - start) / 1e9,
                    "mqtt open": len(devices.waiting),
                    **{f"mqtt {k}": v for k, v in devices.counts.items()},
                }
            )
    for task in clients + keeping:
        task.cancel()
    records.put("counts", **{str(k): v for k, v in devices.counts.items()})
    records.close()


async def publish_one(address, customer, password, type_, function, body, qos, wait):
    """Publish one activation, and return (status, payload) of its answer; (None, b"") if none comes in time.

    Raises:
        OSError: the broker doesn't answer.
        ValueError: the broker refuses the connection.
    """
    answer = asyncio.get_running_loop().create_future()

    def on_answer(packet):
        if not answer.done():
            answer.set_result((dict(packet.props.get("user", ())).get("status"), packet.payload))

    name = f"publish-{time.time_ns():x}"
    device = Device(address, name, customer, password, on_answer)
    keeping = asyncio.ensure_future(device.keep())
    ready = asyncio.ensure_future(device.ready.wait())
    try:
        done, _ = await asyncio.wait([keeping, ready], timeout=wait, return_when=asyncio.FIRST_COMPLETED)
        if keeping in done:
            keeping.result()
        if not ready.done():
            raise OSError(f"no broker answers at {address[0]}:{address[1]}")
        device.ask(type_, function, body, name.encode(), qos, wait)
        return await asyncio.wait_for(answer, wait)
    except TimeoutError:
        return None, b""
    finally:
        for task in (keeping, ready):
            task.cancel()
        if device.stream is not None:
            device.stream.close()
