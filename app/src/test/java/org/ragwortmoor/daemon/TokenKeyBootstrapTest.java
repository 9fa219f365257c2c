package org.ragwortmoor.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.ControlState;

/** Guards against a control group without token key after its first proposal was refused. */
class TokenKeyBootstrapTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TokenKeyBootstrap bootstrap = new TokenKeyBootstrap(new SecureRandom());

    @Test
    void proposesAgainUntilTheStateHasAKey() {
        assertThat(bootstrap.next(ControlState.EMPTY, true, 0, 0)).isNotEmpty();
        assertThat(bootstrap.next(ControlState.EMPTY, true, 0, SECOND - 1)).isEmpty();
        assertThat(bootstrap.next(ControlState.EMPTY, true, 0, SECOND)).isNotEmpty();
    }

    @Test
    void proposesNothingWhileNotReady() {
        assertThat(bootstrap.next(ControlState.EMPTY, false, 0, 0)).isEmpty();
    }

    @Test
    void proposesNothingOnceTheStateHasAKey() {
        ControlState state =
                bootstrap
                        .next(ControlState.EMPTY, true, 0, 0)
                        .map(command -> ControlState.EMPTY.apply(command)._1)
                        .get();
        assertThat(bootstrap.next(state, true, 0, 5 * SECOND)).isEmpty();
    }
}
