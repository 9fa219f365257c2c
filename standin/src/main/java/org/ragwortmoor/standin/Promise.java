package org.ragwortmoor.standin;

import io.vavr.control.Option;
import org.ragwortmoor.state.endpoint.EndpointAnswer.Refused;
import org.ragwortmoor.state.endpoint.RefusalKind;

/**
 * The promised term of an endpoint and its role in it.
 *
 * @param term promised term
 * @param primary whether the endpoint is the primary of the term
 * @param followed address of the primary that it follows; empty if there is none
 */
public record Promise(long term, boolean primary, String followed) {
    /** The promise of a new endpoint. */
    public static final Promise NONE = new Promise(0, false, "");

    /** Returns the refusal of a call that needs the primary of {@code wanted}, if any. */
    Option<Refused> refusal(long wanted) {
        if (wanted < term) {
            return Option.some(fenced(wanted));
        }
        if (wanted > term || !primary) {
            return Option.some(
                    refuse(
                            RefusalKind.NOT_PRIMARY,
                            "not the primary of term " + wanted + "; ask the control group"));
        }
        return Option.none();
    }

    Refused fenced(long wanted) {
        return refuse(
                RefusalKind.FENCED, "term " + wanted + " is over, term " + term + " is promised");
    }

    Refused conflict() {
        return refuse(
                RefusalKind.CONFLICT, "another transaction committed first; run it from the start");
    }

    Refused refuse(RefusalKind kind, String message) {
        return new Refused(kind, message, term, 0);
    }
}
