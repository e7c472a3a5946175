"""Start the daemon of one host."""

import gc
import os
import signal


def _run() -> None:
    # SIGHUP ends the process by default, and importing the daemon takes most of a
    # second; settings that change in that time are read after the import anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # No connection here uses TLS, and the HTTP library would read every certificate
    # of the host on import.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    # Imported modules stay loaded, so later collections can skip them.
    gc.disable()
    from galenapass.platform.daemon import main

    gc.freeze()
    gc.enable()
    main()


if __name__ == "__main__":
    _run()
