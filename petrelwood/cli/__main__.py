import sys

from petrelwood.cli.main import main

sys.exit(main())
