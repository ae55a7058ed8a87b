"""A stand-in MQTT broker: the simulated one of `emulate.broker` behind sockets, and scripted troubles."""

import asyncio

from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from petrelwood.clocks import LoopClock
from petrelwood.emulate.broker import Broker
from petrelwood.links import packets as mqtt
from petrelwood.standins import host
from petrelwood.standins.records import Records


class BrokerServer(TCPServer):
    """Serves the simulated broker; `users` maps users to passwords, or is None where anyone may connect."""

    def __init__(self, users, saw=lambda what, **facts: None, ssl_options=None):
        super().__init__(ssl_options=ssl_options)
        self.users, self.model = users, Broker(LoopClock(), self.may, saw)
        self.streams, self.silent, self.closed = {}, False, False

    @staticmethod
    def may(user, topic, publishes):
        """Return whether a user may publish to a topic or subscribe to it.

        Gateways may use all topics; customers publish their activations and subscribe to their answers.
        """
        if user is None or user.startswith("gateway"):
            return True
        return topic.startswith(f"act/{user}/") if publishes else topic.startswith(f"reply/{user}/")

    async def handle_stream(self, stream, address):
        """Serve one connection until it ends."""
        if self.closed:
            stream.close()
            return
        if self.silent:
            await asyncio.sleep(3600)
        reader, session, life, clean, idle_limit = mqtt.Reader(), None, 0, False, None
        self.streams[stream] = None

        def send(packet):
            if not stream.closed():
                stream.write(mqtt.encode(packet)).add_done_callback(lambda done: done.exception())

        def close(code):
            send(mqtt.Packet(mqtt.DISCONNECT, code=code))
            stream.close()

        try:
            stream.set_nodelay(True)
            while not clean:
                data = await asyncio.wait_for(stream.read_bytes(65536, partial=True), idle_limit or 5)
                for packet in reader.feed(data):
                    if session is None:
                        if packet.type != mqtt.CONNECT:
                            raise mqtt.MqttError(mqtt.PROTOCOL, "the first packet is not a CONNECT")
                        if self.users is not None and self.users.get(packet.user) != packet.password:
                            send(mqtt.Packet(mqtt.CONNACK, code=mqtt.BAD_PASSWORD, present=0, props={}))
                            return
                        session = self.streams[stream] = self.model.connect(packet, send, close)
                        life, idle_limit = session.life, packet.keep_alive * 1.5 or 3600
                    elif packet.type == mqtt.DISCONNECT:
                        clean = packet.code != 4
                        break
                    else:
                        self.model.packet(session, packet)
        except mqtt.MqttError as error:
            close(error.code)
        except TimeoutError:
            close(mqtt.KEEP_ALIVE)
        except (StreamClosedError, OSError):
            pass
        finally:
            self.streams.pop(stream, None)
            stream.close()
            if session is not None:
                self.model.gone(session, life, clean)

    # Misbehaviour
    def drop_all(self, trouble=None):
        """Close all connections."""
        for stream in list(self.streams):
            stream.close()

    def lose(self, trouble):
        """Close all connections and refuse new ones."""
        self.closed = True
        self.drop_all()

    def back(self, trouble):
        """Accept connections again."""
        self.closed = False

    def forget(self, trouble=None):
        """Simulate a crash: all sessions are lost with their messages."""
        self.model.sessions.clear()
        self.drop_all()

    def silence(self, on):
        """Close all connections, and leave new ones without an answer as long as `on`."""
        self.silent = on
        if on:
            self.drop_all()

    def troubles(self):
        """Return the handlers for `host.schedule_troubles`."""
        return {
            "broker-drop": (self.drop_all, None),
            "broker-lost": (self.lose, self.back),
            "broker-forgets": (self.forget, None),
            "broker-silent": (lambda t: self.silence(True), lambda t: self.silence(False)),
        }


async def serve(day, listen, folder, users):
    """Run the broker until a signal."""
    records = Records(folder, "broker")
    server = BrokerServer(users, records.put)
    server.add_sockets(sockets := bind_sockets(listen[1], listen[0]))
    operator = asyncio.ensure_future(
        host.listen_to_operator(
            lambda message: host.schedule_troubles(day, message["start"], server.troubles())
        )
    )
    host.announce_ready(sockets[0].getsockname()[:2])
    await host.wait_for_signal()
    operator.cancel()
    records.close()
