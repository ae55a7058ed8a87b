"""Nodes of settings files: positions, reported errors, decoders, and recorded values."""

import unittest

from petrelwood.settings import decoders, document, kdl_scan
from petrelwood.settings.errors import InvalidValueError, SettingsError, suggestion
from petrelwood.settings.node import ReadValue


def read(text, errors=None, values=None):
    """Return the file node of a text."""
    return document.File("g.kdl", text, errors, values)


class Scan(unittest.TestCase):
    def test_positions_and_depths(self):
        found = kdl_scan.scan('a "{" {\n  /* } /* { */ */ b; c\n}\n')
        self.assertEqual(found.positions, [(1, 1), (2, 19), (2, 22)])
        self.assertEqual(found.depths, [1, 1, 0, 0])

    def test_ends_of_strings_and_comments(self):
        for text, end in (
            ('"a\\"b" c', 6),
            ('#"a"b"# c', 7),
            ('"""\n a\n """ c', 11),
            ("/* /* */ */ c", 11),
            ("// c\nd", 4),
            ("word", 0),
        ):
            with self.subTest(text=text):
                self.assertEqual(kdl_scan.end_of_literal(text, 0), end)
        self.assertGreater(kdl_scan.end_of_literal('"not closed', 0), len('"not closed'))


class Decoders(unittest.TestCase):
    def test_values_and_samples(self):
        for decoder, value, decoded in (
            (decoders.DURATION, "1.5 ms", 1_500_000),
            (decoders.SIZE, "2KiB", 2048),
            (decoders.ADDRESS, "[::1]:80", ("::1", 80)),
            (decoders.FRACTION, 1, 1.0),
            (decoders.FLAG, True, True),
            (decoders.one_of("process", "machine"), "machine", "machine"),
        ):
            with self.subTest(value=value):
                self.assertEqual(decoder.decode(value, "it"), decoded)
                self.assertIsInstance(decoded, type(decoder.sample))

    def test_an_error_names_the_subject(self):
        for decoder, value in (
            (decoders.COUNT, True),
            (decoders.NUMBER, False),
            (decoders.DURATION, 5),
            (decoders.SIZE, "5 parsecs"),
            (decoders.ADDRESS, "here:99999"),
            (decoders.one_of("process"), "proces"),
            (decoders.TEXT, None),
        ):
            with self.subTest(value=value):
                with self.assertRaisesRegex(InvalidValueError, "^its limit[ :]"):
                    decoder.decode(value, "its limit")

    def test_suggestions(self):
        self.assertEqual(suggestion("zoen", ["zone", "cell"]), "; did you mean 'zone'?")
        self.assertEqual(suggestion("x", ["zone", "cell"]), "; known here: zone, cell")
        self.assertEqual(suggestion("x", []), "")


class Nodes(unittest.TestCase):
    def test_an_error_is_raised_with_its_place_and_cause(self):
        node = read("\n  limit 5\n").child("limit")
        with self.assertRaises(SettingsError) as caught:
            node.arg(decoders.TEXT, "a name")
        error = caught.exception
        self.assertEqual((error.file, error.line, error.column), ("g.kdl", 2, 3))
        self.assertEqual(str(error), "g.kdl:2: 'limit' must be text, not 5")
        self.assertIsInstance(error.__cause__, InvalidValueError)

    def test_a_sample_stands_in_and_makes_no_further_errors(self):
        errors = []
        node = read("limit 5", errors).child("limit")
        self.assertEqual(node.arg(decoders.TEXT, "a name"), decoders.TEXT.sample)
        self.assertTrue(node.has_errors)
        node.report("what follows from it")
        self.assertEqual([error.message for error in errors], ["'limit' must be text, not 5"])

    def test_a_missing_node_is_reported_once(self):
        errors = []
        node = read("limits { held 5 }", errors).child("workers")
        self.assertEqual(node.value("keep", decoders.DURATION), decoders.DURATION.sample)
        self.assertEqual(node.child("cold").prop("from", decoders.FRACTION), decoders.FRACTION.sample)
        node.report("what follows from it")
        node.reject_unknown()
        self.assertEqual([error.message for error in errors], ["'file' needs a 'workers'"])

    def test_a_misspelt_name_is_reported_once(self):
        errors = []
        file = read("limits { heldd 5 }", errors)
        node = file.child("limits")
        node.value("held", decoders.COUNT)
        node.reject_unknown()
        self.assertEqual(
            [error.message for error in errors], ["'limits' has no 'heldd'; did you mean 'held'?"]
        )

    def test_values_are_noted_with_where_they_stand(self):
        values = []
        node = read('customer "x" share=5 {\n  held 7\n}\n', values=values).child("customer")
        node.prop("share", decoders.NUMBER)
        node.prop("weight", decoders.NUMBER, 1)
        node.value("held", decoders.COUNT)
        node.value("idle", decoders.DURATION, 9)
        self.assertEqual(
            values,
            [
                ReadValue('customer "x" > share', 5, ("g.kdl", 1)),
                ReadValue('customer "x" > weight', 1, None),
                ReadValue('customer "x" > held', 7, ("g.kdl", 2)),
                ReadValue('customer "x" > idle', 9, None),
            ],
        )

    def test_the_first_of_each_label_counts(self):
        errors = []
        file = read('f "a" 1\nf "b" 2\nf "a" 3\n', errors)
        self.assertEqual([node.args[1] for node in file.labelled("f", "function")], [1, 2])
        self.assertEqual(
            [str(error) for error in errors], ["g.kdl:3: function 'a' is given twice; first on line 1"]
        )

    def test_a_template_gives_what_a_block_does_not_say(self):
        file = read('template "t" x=1 { a 1; b 2 }\nblock y=3 { b 5; use "t" }\n')
        node = file.child("block")
        self.assertEqual(document.render([node]), "block x=1 y=3 {\n    b 5\n    a 1\n}\n")


if __name__ == "__main__":
    unittest.main()
