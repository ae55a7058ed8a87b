"""Plays the case in a folder. Exits with 1 if its rule was broken, 0 if it held, 2 if it could not run."""

import importlib.util
import pathlib
import sys


def main(folder):
    """Return the exit status of the case in `folder`; nothing but a broken rule gives 1."""
    try:
        import standins

        spec = importlib.util.spec_from_file_location("case", folder / "case.py")
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        return standins.play(folder, module.case)
    except Exception as error:  # for example a package that the build has not installed
        print("could not run:", repr(error))
        return 2


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1]).resolve()))
