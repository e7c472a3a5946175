"""Start the daemon of one host."""

import signal


def _run() -> None:
    # The default of this signal ends the process, and loading the daemon takes most
    # of a second; a file that changes in that time is read afterwards anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from galenapass.platform.daemon import main

    main()


if __name__ == "__main__":
    _run()
