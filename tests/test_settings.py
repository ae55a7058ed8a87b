"""Invalid settings files: each gives one error message with the right line."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from rig import KEY

from petrelwood import ports
from petrelwood.emulate import script
from petrelwood.settings import document, gateway
from petrelwood.settings.errors import SettingsError

GOOD = f'''gateway "d" {{
    listen "127.0.0.1:8080"
    roster "127.0.0.1:7070"
    zone "n"
}}
customer "x" share=10 {{
    key "{KEY}"
}}
namespace-type "t" {{
    target-latency "1s"
    action-timeout "2.5s"
    effect "repeatable"
}}
function "f-*" type="t" lanes=2
workers {{
    cold "5s" from=0.2
    fall "1s" multiple=3.0
    sends 3
    keep "8s"
    on-miss "load"
}}
'''
BROKEN = (  # original text, replacement, line of the error, part of the message
    ('listen "127.0.0.1:8080"', 'lisen "127.0.0.1:8080"', 1, "needs a 'listen'"),
    ('zone "n"', 'zoen "n"', 4, "did you mean 'zone'"),
    ('"127.0.0.1:8080"', '"8080"', 2, "address like"),
    ('"1s"\n    action', '"1"\n    action', 10, "duration like"),
    ('"1s"\n    action', "1000\n    action", 10, "needs a unit"),
    ('"1s"\n    action', '"1sec"\n    action', 10, "no unit of a duration"),
    ('"1s"\n    action', '"3s"\n    action', 9, "over its action timeout"),
    ('"repeatable"', '"repeatabel"', 12, "did you mean 'repeatable'"),
    ('"repeatable"', '"deduplicated"', 9, "needs a 'scope'"),
    ('type="t"', 'type="score"', 14, "no namespace type 'score'"),
    ('type="t" ', 'typ="t" ', 14, "needs type="),
    ("lanes=2", "lane=2", 14, "did you mean 'lanes'"),
    ("from=0.2", "from=2", 16, "between 0 and 1"),
    ("sends 3", 'sends "3"', 18, "whole number"),
    ("sends 3", "sends 3 4", 18, "takes 1 value, not 2"),
    (KEY, "whsec_abc", 7, "not base64"),
    (KEY, "whsec_" + "QUJD", 7, "holds 3 bytes"),
    (KEY, "secret", 7, "must begin with"),
    ('customer "x" share=10 {', 'customer "x" share="many" {', 6, "must be a number"),
    ('fall "1s"', 'fall "1s', 17, "not KDL"),
    ("sends 3", "sends true", 18, "not KDL"),
    ('    on-miss "load"\n}', '    on-miss "load"\n', 15, "never closed"),
    ("workers {", 'limits { held "many" }\nworkers {', 15, "whole number"),
    ("workers {", 'namespace-type "t" { }\nworkers {', 15, "given twice; first on line 9"),
    ("workers {", "wrokers {", 1, "needs a 'workers'"),
)


class Files(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name) / "g.kdl"

    def read(self, text):
        self.path.write_text(text)
        return gateway.read(self.path)

    def test_a_good_file(self):
        settings = self.read(GOOD)
        self.assertEqual(
            (settings.listen, settings.timeouts["t"], settings.terms.quotas),
            (("127.0.0.1", 8080), 2_500_000_000, {"x": 10.0}),
        )
        self.assertEqual(
            settings.terms.types["t"], ports.NamespaceType(1_000_000_000, "repeatable", "all", 0)
        )
        self.assertEqual((settings.rule("f-7").lanes, settings.rule("g-7")), (2, None))

    def test_the_longest_beginning_of_a_name_decides_and_a_whole_name_before_it(self):
        more = 'function "f-hot-*" type="t" lanes=3\nfunction "f-hot-1" type="t" lanes=4\n'
        settings = self.read(GOOD + more)
        self.assertEqual(
            [settings.rule(n).lanes for n in ("f-1", "f-hot-2", "f-hot-1", "f-hot-11")], [2, 3, 4, 3]
        )

    def test_each_broken_file_gives_one_message_at_its_line(self):
        for old, new, line, words in BROKEN:
            with self.subTest(new=new):
                self.assertIn(old, GOOD)
                with self.assertRaises(SettingsError) as caught:
                    self.read(GOOD.replace(old, new, 1))
                message = str(caught.exception)
                self.assertIn(words, message)
                self.assertEqual(caught.exception.line, line, message)
                self.assertEqual(message.count("\n"), 0)

    def test_places_survive_comments_strings_and_slashdash(self):
        text = (
            '// a { b\n/* c {\n */ one "x{" {\n  /- two { three }\n  four #"a " } b"#; five\n'
            '  (t)six """\n   { seven\n   """ \\\n   8\n}\nnine\n'
        )
        self.path.write_text(text)
        found = []

        def walk(node):
            for child in node.children:
                found.append((child.name, child.line))
                walk(child)

        walk(document.File(self.path))
        self.assertEqual(found, [("one", 3), ("four", 5), ("five", 5), ("six", 6), ("nine", 11)])

    def test_places_survive_a_node_without_a_block_that_is_commented_out(self):
        """Guards against errors that are reported at line 0 after a commented-out node without a block."""
        self.path.write_text(
            "/- one 1\ntwo 2\n/- three; four\n/- five { six }\nseven\n/-\neight\nnine /- 9\n"
        )
        found = [(child.name, child.line) for child in document.File(self.path).children]
        self.assertEqual(found, [("two", 2), ("four", 3), ("seven", 5), ("nine", 8)])

    def test_a_password_file_that_is_no_text_is_reported_at_its_line(self):
        """Guards against a traceback instead of an error message if the file is not UTF-8."""
        (self.path.parent / "password").write_bytes(b"\xff\xfe")
        mqtt = '\nmqtt { broker "127.0.0.1:1883"; user "u"; password-file "password" }\n'
        with self.assertRaises(SettingsError) as caught:
            self.read(GOOD + mqtt)
        self.assertIn("'password-file' can't be read: it is not UTF-8", str(caught.exception))
        self.assertEqual(caught.exception.line, GOOD.count("\n") + 2)

    def test_what_is_rendered_reads_the_same(self):
        self.path.write_text(GOOD)
        once = document.render(document.File(self.path).children)
        self.path.write_text(once)
        self.assertEqual(document.render(document.File(self.path).children), once)
        self.assertEqual(gateway.read(self.path), self.read(GOOD))

    def test_the_program_says_it_in_one_line_and_exits_2(self):
        self.path.write_text(GOOD.replace("zone", "zoen"))
        ended = subprocess.run(
            [sys.executable, "-m", "petrelwood.cli", "serve", str(self.path)], capture_output=True, text=True
        )
        self.assertEqual(
            (ended.returncode, ended.stdout, len(ended.stderr.splitlines())), (2, "", 1), ended.stderr
        )
        self.assertIn(f"{self.path}:4: ", ended.stderr)

    def test_a_day_that_does_not_hold_together(self):
        text = pathlib.Path(script.find("bad")).read_text()
        for old, new, words in (
            ('worker="w3"', 'worker="w33"', "no worker 'w33'; did you mean"),
            ('trouble "drain"', 'trouble "dran"', "did you mean 'drain'"),
            ('at="8s" worker', 'at="80s" worker', "after the day's end"),
            ('dispatcher="d2"', 'dispatcher="d9"', "no dispatcher 'd9'"),
        ):
            self.path.write_text(text.replace(old, new, 1))
            with self.assertRaises(SettingsError) as caught:
                script.read(self.path)
            self.assertIn(words, str(caught.exception))
        with self.assertRaises(SettingsError) as caught:
            script.find("bed")
        self.assertIn("did you mean 'bad'", str(caught.exception))
