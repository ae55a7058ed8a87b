"""TLS on both fronts and on the worker link: accepted and rejected peers, errors in the files, renewal under
load."""

import asyncio
import datetime
import os
import pathlib
import ssl
import tempfile
import time
import unittest

import trustme
from cryptography import x509
from rig import Case, RecordingLog, Worker, later
from test_mqtt import MqttCase
from test_settings import GOOD
from tornado.iostream import SSLIOStream
from tornado.tcpclient import TCPClient

from petrelwood.links.errors import IdentityError
from petrelwood.links.tls import Identity
from petrelwood.settings import gateway
from petrelwood.settings.errors import SettingsError
from petrelwood.standins.caller import Caller, ConnectionLostError


class Place:
    """A folder with an authority, its certificates, and a certificate of a foreign authority."""

    def __init__(self, test):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.path, self.ca, self.foreign = pathlib.Path(folder.name), trustme.CA(), trustme.CA()
        self.ca.cert_pem.write_to_path(self.file("ca.pem"))
        self.issue("good", self.ca)
        self.issue("foreign", self.foreign)
        past = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
        self.issue("expired", self.ca, not_before=past, not_after=past + datetime.timedelta(days=2))

    def file(self, name):
        return str(self.path / name)

    def issue(self, name, ca, **more):
        made = ca.issue_cert("127.0.0.1", "localhost", **more)
        made.private_key_pem.write_to_path(self.file(f"{name}.key"))
        made.cert_chain_pems[0].write_to_path(self.file(f"{name}.pem"))

    def identity(self, name, **more):
        return Identity(self.file(f"{name}.pem"), self.file(f"{name}.key"), self.file("ca.pem"), **more)


class Files(unittest.TestCase):
    def test_what_is_wrong_is_one_clear_error_at_the_start(self):
        place = Place(self)
        cases = (
            (("expired.pem", "expired.key", "ca.pem"), "ran out on 2020-01-03"),
            (("good.pem", "foreign.key", "ca.pem"), "do not go together"),
            (("none.pem", "good.key", "ca.pem"), "can't be read"),
            (("good.key", "good.key", "ca.pem"), "no certificate"),
        )
        for (cert, key, trusts), words in cases:
            with self.assertRaises(IdentityError) as caught:
                Identity(place.file(cert), place.file(key), place.file(trusts))
            self.assertIn(words, str(caught.exception))
            path = place.path / "g.kdl"
            path.write_text(
                GOOD.replace('zone "n"', f'zone "n"\n    tls cert="{cert}" key="{key}" trusts="{trusts}"')
            )
            with self.assertRaises(SettingsError) as caught:
                gateway.read(path)
            self.assertEqual(caught.exception.line, 5)
        with self.assertRaises(IdentityError):
            Identity(place.file("good.pem"), place.file("good.key"), mutual=True)

    def test_a_renewed_file_is_loaded_and_a_broken_one_is_not(self):
        place, log = Place(self), RecordingLog()
        identity = place.identity("good")
        identity.server()
        self.assertFalse(identity.renew(log))
        place.issue("good", place.ca)
        os.utime(place.file("good.pem"), ns=(1, 1))
        self.assertTrue(identity.renew(log))
        pathlib.Path(place.file("good.pem")).write_text("half a fi")
        self.assertFalse(identity.renew(log))
        self.assertTrue(log.said("certificate not renewed; the last valid one stays in use"))


def caller(address, context):
    """Return a caller that connects with this SSL context."""
    made = Caller(address)

    async def connect():
        return await TCPClient().connect(*address, ssl_options=context)

    made.connect = connect
    return made


class Front(Case):
    async def begin_tls(self, place, **more):
        self.tls = place.identity("good", **more)
        read = gateway.read
        gateway.read = lambda path: read(path)._replace(tls=self.tls)
        try:
            await self.begin(Worker("w1", later(0.05)))
        finally:
            gateway.read = read

    async def test_mutual_lets_in_whom_it_trusts_and_nobody_else(self):
        place = Place(self)
        await self.begin_tls(place, mutual=True)
        self.caller = caller(self.address, place.identity("good").client())
        self.assertEqual((await self.post())[0], 200)
        for who in ("foreign", "expired", None):
            context = ssl.create_default_context(cafile=place.file("ca.pem"))
            if who:
                context.load_cert_chain(place.file(f"{who}.pem"), place.file(f"{who}.key"))
            self.caller = caller(self.address, context)
            with self.assertRaises(ConnectionLostError):
                await self.post(within=5)
        self.assertEqual((self.runs(), self.front.counts["handshakes refused"]), (1, 3))

    async def test_a_plain_client_is_refused_and_the_front_goes_on(self):
        place = Place(self)
        await self.begin_tls(place)
        with self.assertRaises(ConnectionLostError):
            await self.post(within=3)
        self.caller = caller(self.address, place.identity("good").client())
        self.assertEqual((await self.post())[0], 200)

    async def test_renewal_drops_no_call_and_the_next_handshake_sees_it(self):
        place = Place(self)
        await self.begin_tls(place)
        self.caller = caller(self.address, place.identity("good").client())
        await self.post()
        stands = self.caller.idle[0]
        running = [asyncio.ensure_future(self.post()) for _ in range(4)]
        place.issue("good", place.ca)
        os.utime(place.file("good.pem"), ns=(time.time_ns(), time.time_ns() + 10**9))
        self.assertTrue(self.tls.renew(self.log))
        self.assertEqual([(await r)[0] for r in running], [200] * 4)
        self.assertFalse(stands.closed())
        new = await TCPClient().connect(*self.address, ssl_options=place.identity("good").client())
        self.assertIsInstance(new, SSLIOStream)
        shown = x509.load_der_x509_certificate(new.socket.getpeercert(True)).serial_number
        kept = x509.load_pem_x509_certificate(pathlib.Path(place.file("good.pem")).read_bytes()).serial_number
        old = x509.load_der_x509_certificate(stands.socket.getpeercert(True)).serial_number
        self.assertEqual((shown, old == kept), (kept, False))
        new.close()


class Links(MqttCase):
    async def test_workers_and_broker_over_mutual_tls_and_a_foreign_broker_is_refused(self):
        place = Place(self)
        identity, read = place.identity("good", mutual=True), gateway.read
        worker = Worker("w1")
        worker.ssl_options = identity.server()

        def tls_read(path):
            found = read(path)
            return found._replace(worker_tls=identity, mqtt=found.mqtt and found.mqtt._replace(tls=None))

        gateway.read = tls_read
        try:
            await self.begin(worker)
        finally:
            gateway.read = read
        self.client.ask("once-1", b"1", 2)
        self.assertEqual(await self.answered(b"1"), ["completed"])
        # the worker presents a certificate of another authority
        worker.ssl_options = place.identity("foreign").server()
        for stream in worker.streams:
            stream.close()
        lost = self.cores[0].links["w1"].counts.lost
        self.client.ask("once-2", b"2", 2)
        # it never ran, because no connection was established
        self.assertEqual(await self.answered(b"2"), ["rejected"])
        self.assertGreater(self.cores[0].links["w1"].counts.lost, lost)
        self.assertEqual(len(worker.runs), 1)

    async def test_a_broker_over_tls(self):
        place = Place(self)
        await self.begin(Worker("w1"))
        session = self.cores[0].fronts[0].sessions[0]
        self.broker.ssl_options = place.identity("good", mutual=True).server()
        session.connection.terms = session.connection.terms._replace(tls=place.identity("foreign"))
        self.broker.drop_all()
        await self.until(lambda: session.backoff.failures >= 2)
        self.assertFalse(session.connection.is_up)
        session.connection.terms = session.connection.terms._replace(tls=place.identity("good"))
        await self.until(lambda: session.connection.is_up)
