"""Command ``python3 -m mimosapost.platform``: run one instance on the users' platform."""

import signal
import sys


def main() -> int:
    """Run one instance until SIGTERM, then stop gracefully.

    :returns: exit status: 0 after a graceful stop, 2 if the settings file is unusable.
    """
    # Imported here, because the signal handlers at the end of this file must be installed
    # before these slow imports.
    from returns.result import Failure

    from mimosapost.platform.startup import find_settings_path, open_listener, read_settings

    path = find_settings_path()
    result = read_settings(path)
    if isinstance(result, Failure):
        sys.stderr.write("".join(f"{fault}\n" for fault in result.failure()))
        return 2
    settings = result.unwrap()
    with open_listener(settings.caller_address) as listener:
        # This import takes most of the startup time. The socket is already listening, so the
        # kernel queues callers that connect during the import.
        from mimosapost.platform.instance_runner import run

        run(path, settings, listener)
    return 0


if __name__ == "__main__":
    # Without a handler both signals would kill the process, and the imports take half a second.
    # The instance replaces these handlers once it runs. Before that it serves no requests, so
    # SIGHUP is ignored and SIGTERM ends the process at once.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    sys.exit(main())
