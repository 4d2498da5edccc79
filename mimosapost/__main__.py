"""Run the console script as ``python -m mimosapost``."""

import sys

from mimosapost.commands.entry import main

if __name__ == "__main__":
    sys.exit(main())
