"""``python -m mimosapost``: the same as the console script."""

import sys

from mimosapost.commands.entry import main

if __name__ == "__main__":
    sys.exit(main())
