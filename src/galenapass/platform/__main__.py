"""Start the daemon of one host."""

import gc
import os
import signal


def _run() -> None:
    # The default of this signal ends the process, and loading the daemon takes most
    # of a second; a file that changes in that time is read afterwards anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # No connection here uses TLS; the HTTP library reads every certificate of the
    # host when it is loaded.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    # What is loaded now stays, so collections need not look at it.
    gc.disable()
    from galenapass.platform.daemon import main

    gc.freeze()
    gc.enable()
    main()


if __name__ == "__main__":
    _run()
