package org.ragwortmoor.load;

/** Why a call has no answer. */
enum CallFailure {
    /** No connection could be opened, so that the proxy has not seen the call. */
    NOT_SENT,
    /** The connection closed or the time ran out after the call had been sent. */
    NO_ANSWER
}
