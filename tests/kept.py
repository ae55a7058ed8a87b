"""Compares a short printed trace with the expected one in tests/traces/, which reviewers read."""

import difflib
import pathlib

KEPT = pathlib.Path(__file__).with_name("traces")


def compare(test, name, lines):
    """Fail the test with a diff unless the lines equal the kept trace of this name."""
    found = [line.rstrip() for line in lines]
    kept = (KEPT / f"{name}.txt").read_text().splitlines()
    test.assertEqual(
        kept, found, "\n" + "\n".join(difflib.unified_diff(kept, found, "kept", "found", "", ""))
    )
