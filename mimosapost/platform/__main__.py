"""``python3 -m mimosapost.platform``: run one instance on the users' platform."""

import signal
import sys


def main() -> int:
    """Run one instance until SIGTERM, then stop gracefully.

    :returns: 0 after a graceful stop, 2 for settings that cannot be used.
    """
    # Imported here, because the signals above the imports must have their handlers first.
    from returns.result import Failure

    from mimosapost.platform.start import find_settings_path, open_listener, read_settings

    path = find_settings_path()
    result = read_settings(path)
    if isinstance(result, Failure):
        sys.stderr.write("".join(f"{fault}\n" for fault in result.failure()))
        return 2
    settings = result.unwrap()
    with open_listener(settings.caller_address) as listener:
        # Takes most of the time of a start; callers that connect meanwhile wait in the kernel.
        from mimosapost.platform.program import run

        run(path, settings, listener)
    return 0


if __name__ == "__main__":
    # Both signals end a process that has no handler yet, and the imports take half a second.
    # Until the instance takes over, nothing is served: SIGHUP means nothing, SIGTERM the end.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    sys.exit(main())
