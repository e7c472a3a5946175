"""Start the daemon of one host."""

import gc
import os
import signal

from galenapass.process_signals import ProcessSignals

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def _run() -> None:
    # Importing the daemon takes most of a second.
    signals = ProcessSignals(SIGNALS)
    # No connection here uses TLS, and the HTTP library would read every certificate
    # of the host on import.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    # Imported modules stay loaded, so later collections can skip them.
    gc.disable()
    from galenapass.platform.daemon import main

    gc.freeze()
    gc.enable()
    main(obj=signals)


if __name__ == "__main__":
    _run()
