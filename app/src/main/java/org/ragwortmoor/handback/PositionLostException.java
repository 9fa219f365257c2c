package org.ragwortmoor.handback;

import org.ragwortmoor.cli.ExitCode;

/** A failover discarded a position that the export's session had seen. */
final class PositionLostException extends HandBackException {
    private static final long serialVersionUID = 1L;

    PositionLostException(String message) {
        super(ExitCode.REFUSED, message);
    }
}
