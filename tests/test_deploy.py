"""The build and run commands of `deploy/balancer.toml`: an interrupted build is repeated, and a run is a
single process that writes no files."""

import os
import pathlib
import subprocess
import tempfile
import tomllib
import unittest

from node_site import ROOT, Site, Worker

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
MAKES = """#!/bin/sh
# stands for `python3 -m venv`: the folder is there at once, as the real one's is
mkdir -p .venv/bin
cp tools/pip tools/python .venv/bin/
echo venv >> calls
"""
INSTALLS = """#!/bin/sh
echo pip >> calls
test ! -e cut || kill -9 $PPID
"""


def script(path, text):
    path.write_text(text)
    path.chmod(0o755)


class Build(unittest.TestCase):
    def build(self, folder):
        return subprocess.run(
            ["/bin/sh", "-c", DEPLOY["build"]],
            cwd=folder,
            capture_output=True,
            timeout=60,
            env={"PATH": f"{folder}/tools:{os.environ['PATH']}"},
        ).returncode

    def test_what_a_build_that_was_cut_short_leaves_does_not_count_as_whole(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "tools").mkdir()
            (folder / "requirements.txt").write_text("one==1\n")
            script(folder / "tools" / "python3", MAKES)
            script(folder / "tools" / "pip", INSTALLS)
            script(folder / "tools" / "python", "#!/bin/sh\necho compile >> calls\n")

            def calls():
                return (folder / "calls").read_text().split()

            (folder / "cut").touch()
            self.assertNotEqual(self.build(folder), 0)
            self.assertTrue((folder / ".venv" / "bin" / "python").exists())
            (folder / "cut").unlink()
            self.assertEqual(self.build(folder), 0)
            self.assertEqual(calls(), ["venv", "pip", "venv", "pip", "compile"])
            self.assertEqual(self.build(folder), 0)
            self.assertEqual(calls()[5:], ["compile"])
            (folder / "requirements.txt").write_text("one==2\n")
            self.assertEqual(self.build(folder), 0)
            self.assertEqual(calls()[6:], ["venv", "pip", "compile"])


def stamps():
    return {path: path.stat().st_mtime_ns for path in (ROOT / "petrelwood").rglob("*")}


class Run(unittest.IsolatedAsyncioTestCase):
    async def test_run_is_one_process_by_exec_that_writes_nothing(self):
        async with Site([Worker("s-1")]) as site:
            await site.stop()
            site.log.clear()
            before, temporary = stamps(), pathlib.Path(site.folder.name) / "tmp"
            temporary.mkdir()
            await site.start(
                ("/bin/sh", "-c", DEPLOY["run"]),
                TMPDIR=str(temporary),
                PYTHONDONTWRITEBYTECODE="",
                # the folder has no byte code yet, so it would be written
                PYTHONPYCACHEPREFIX=str(temporary),
            )
            client = await site.client()
            self.assertEqual((await client.call(body=b"x"))[0], "completed")
            at = pathlib.Path(f"/proc/{site.process.pid}")
            self.assertIn("petrelwood.node", (at / "cmdline").read_text())  # the shell was replaced
            self.assertEqual([(task / "children").read_text() for task in (at / "task").iterdir()], [""])
            self.assertIn("/libc.so", (at / "maps").read_text())
            self.assertEqual((stamps(), list(temporary.iterdir())), (before, []))
            client.close()
            self.assertEqual(await site.stop(), 0)


if __name__ == "__main__":
    unittest.main()
