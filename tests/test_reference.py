"""The reference and completion derived from the decoding; checks of days and experiments; the estimate of the
effect of a change."""

import pathlib
import tempfile
import unittest

from kept import compare
from test_settings import GOOD

from petrelwood.emulate import script
from petrelwood.lab import estimate, experiment
from petrelwood.settings import completion, document, schema, validation
from petrelwood.settings.descriptions import DESCRIPTIONS
from petrelwood.settings.errors import SettingsError

DAYS = pathlib.Path(__file__).with_name("days")
OTHERS = (
    ("experiment", lambda file: experiment.described(file, pathlib.Path(file.file))),
    ("day", script.described),
)


class Reference(unittest.TestCase):
    def test_every_name_has_its_meaning_and_no_meaning_is_left_over(self):
        self.assertEqual(sorted(DESCRIPTIONS), sorted(set(schema.paths())))

    def test_the_schema_knows_what_a_whole_file_says(self):
        blocks = {b.path: b for b in schema.schema().walk()}
        for node in document.File("g.kdl", GOOD).children:
            self.assertIn(node.name, blocks)
            self.assertLessEqual(set(node.props), set(blocks[node.name].props))
            for child in node.children:
                self.assertIn(f"{node.name} > {child.name}", blocks)

    def test_what_may_come_where(self):
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "g.kdl"
            path.write_text(GOOD + 'template "quick" { }\n')
            for text in (
                "na",
                'gateway "d" {\n    li',
                'gateway "d" { listen "x"; t',
                'namespace-type "t" {\n  effect ',
                'function "f" ',
                'function "f" lanes=2 l',
                'function "f" type=',
                'workers { cold "5s" ',
                "workers { tls ",
                "workers { use ",
                "damp-storms ",
                'customer "x" { key ',
                "// na",
                'customer "x" { note "{"; ',
                "nothing { ",
                "workers { sends 3 overlap=",
            ):
                rows = text.split("\n")
                found = completion.completions(text, len(rows), len(rows[-1]) + 1, path)
                lines.append(text.replace("\n", " / ") + "|")
                lines += [f"    {word}  {what}" for word, what in found[:9]] or ["    (nothing)"]
        compare(self, "completions", lines)


class Kinds(unittest.TestCase):
    def test_broken_days_and_experiments(self):
        lines, day = [], (DAYS / "small.kdl").read_text()
        plain = (
            'experiment "e" { day "bad"; policy "petrelwood"; seeds from=1 count=2; factor "rate" 60 120 }\n'
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "x.kdl"
            for text, changes in (
                (
                    day,
                    (
                        ("rate", "rat"),
                        ('halls "', 'hals "'),
                        ("workers ", "workers #true "),
                        ("lanes=", "lane="),
                        ('at="', 'at="9h" again="1ms" worker="w99" xt="'),
                    ),
                ),
                (
                    plain,
                    (
                        ('"bad"', '"bat"'),
                        ('"petrelwood"', '"petrel"'),
                        ("count=2", ""),
                        (" 60 120", ""),
                        ('"rate" 60', '"rate" "x"'),
                        ("seeds", "seed"),
                    ),
                ),
            ):
                for old, new in changes:
                    self.assertIn(old, text)
                    path.write_text(text.replace(old, new, 1))
                    errors, _, _ = validation.check(path, others=OTHERS)
                    lines.append(f"{old} -> {new}")
                    lines += [f"    {error}".replace(folder + "/", "") for error in errors] or [
                        "    (nothing)"
                    ]
                    self.assertTrue(errors)
                path.write_text(text)
                self.assertEqual(validation.check(path, others=OTHERS)[0], [])
        compare(self, "broken_days", lines)


class Estimate(unittest.TestCase):
    def test_a_change_is_played_on_a_day_paired_by_seed(self):
        with tempfile.TemporaryDirectory() as folder:
            old, new = (pathlib.Path(folder) / f"{n}.kdl" for n in ("old", "new"))
            terms = document.render(script.read(DAYS / "small.kdl").terms.children)
            old.write_text(terms)
            new.write_text(
                terms.replace("sends 3", "sends 1").replace(
                    'quiet "', 'most-retry-after "1s"\n    quiet "', 1
                )
                if "most-retry-after" not in terms
                else terms.replace("sends 3", "sends 1")
            )
            self.assertNotEqual(old.read_text(), new.read_text())
            rows, broken, carried = estimate.estimate(old, new, str(DAYS / "small.kdl"), (1, 2, 3), jobs=3)
            same, _, _ = estimate.estimate(old, old, str(DAYS / "small.kdl"), (1,), jobs=2)
        self.assertIn("workers", carried["new"])
        self.assertEqual({r.figure for r in rows}, set(estimate.FIGURES))
        self.assertEqual([r.new - r.old for r in same], [0.0] * len(same))
        self.assertEqual(broken, {"old": [], "new": []})
        for row in rows:
            self.assertLessEqual(row.low, row.high)
            self.assertTrue(row.low - 1e-9 <= row.new - row.old <= row.high + 1e-9, row)
        self.assertTrue(any(r.new != r.old for r in rows))

    def test_a_file_that_has_nothing_to_do_with_the_day(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "g.kdl"
            path.write_text('namespace-type "none" { }\n')
            with self.assertRaisesRegex(SettingsError, "nothing in it has to do with day"):
                estimate.under(script.read(DAYS / "small.kdl"), path)


if __name__ == "__main__":
    unittest.main()
