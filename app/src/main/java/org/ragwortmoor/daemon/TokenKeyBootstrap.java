package org.ragwortmoor.daemon;

import io.vavr.control.Option;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.control.ControlCommand;
import org.ragwortmoor.coordination.control.ControlState;
import org.ragwortmoor.coordination.control.TokenKey;

/**
 * Lets the first leader create the key that signs session tokens. Confined to the control loop.
 *
 * <p>A proposal can be refused, for example while a majority does not answer, so it is repeated
 * until the state has a key. The operation id is the same each time, so that one key is added.
 */
final class TokenKeyBootstrap {
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int KEY_BYTES = 32;

    private final SecureRandom random;
    private Option<Long> retryAt = Option.none();

    TokenKeyBootstrap(SecureRandom random) {
        this.random = random;
    }

    /**
     * Returns the command to propose now, if any.
     *
     * @param ready whether this process leads and may answer
     * @param wallMillis wall-clock time in milliseconds, for display
     * @param now current time in nanoseconds
     */
    Option<ControlCommand> next(ControlState state, boolean ready, long wallMillis, long now) {
        if (!ready || !state.tokenKeys().isEmpty() || retryAt.exists(at -> now - at < 0)) {
            return Option.none();
        }
        retryAt = Option.of(now + RETRY_NANOS);
        byte[] secret = new byte[KEY_BYTES];
        random.nextBytes(secret);
        TokenKey key = new TokenKey(1, Base64.getEncoder().encodeToString(secret));
        return Option.of(
                new ControlCommand.AddTokenKey("first-token-key", key, "control", wallMillis));
    }
}
