"""``python3 -m mimosapost.platform``: run one instance on the users' platform."""

import signal
import sys

if __name__ == "__main__":
    # SIGHUP ends a process that has no handler for it yet, and the imports take half a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mimosapost.platform.program import main

    sys.exit(main())
