"""``python3 -m mimosapost.platform``: run one instance on the users' platform."""

import signal
import sys

if __name__ == "__main__":
    # Both signals end a process that has no handler yet, and the imports take half a second.
    # Until the instance takes over, nothing is served: SIGHUP means nothing, SIGTERM the end.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    from mimosapost.platform.program import main

    sys.exit(main())
