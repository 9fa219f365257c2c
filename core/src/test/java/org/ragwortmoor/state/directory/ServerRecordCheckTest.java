package org.ragwortmoor.state.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Announced servers that are accepted, and those with a value that is out of bounds. */
class ServerRecordCheckTest {
    private static final long NOW = 1_790_000_000_000L;
    private static final long DAY = 86_400_000L;

    private String id = "i-7f3a91c2";
    private String group = "huvo11a";
    private String zone = "flan-a";
    private String address = "10.128.0.9:8080";
    private int slots = 2;
    private long startedAt = NOW - 1_000;

    private Option<String> problem() {
        return ServerRecordCheck.firstProblem(
                new ServerRecord(
                        id, startedAt, group, address, zone, slots, ServerState.READY, false, 0),
                NOW);
    }

    @Test
    void anOrdinaryServerIsAccepted() {
        assertThat(problem()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {256, 3_000, 300_000})
    void aLongNameIsRefused(int length) {
        id = "i".repeat(length);
        assertThat(problem().get()).contains("id").contains("255");
        id = "i";
        group = "g".repeat(length);
        assertThat(problem().get()).contains("service").contains("255");
        group = "g";
        zone = "z".repeat(length);
        assertThat(problem().get()).contains("zone").contains("255");
    }

    @Test
    void aNameOfTheMaximumLengthIsAccepted() {
        id = "i".repeat(255);
        group = "g".repeat(255);
        zone = "z".repeat(255);
        assertThat(problem()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"a b", "a\r\nb", "a\tb", "a\u0000", "a\u007f"})
    void aNameThatIsNoWordOfTheProtocolIsRefused(String name) {
        id = name;
        assertThat(problem().get()).contains("id");
        id = "i";
        group = name;
        assertThat(problem().get()).contains("service");
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-5", "10.0.0.1:", "10.0.0.1"})
    void anAddressWithoutAUsablePortIsRefused(String given) {
        address = given;
        assertThat(problem().get()).contains("address").contains("65535");
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:1", "10.0.0.1:65535", "[::1]:8080"})
    void anAddressWithAUsablePortIsAccepted(String given) {
        address = given;
        assertThat(problem()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, -1, 100_001, Integer.MAX_VALUE})
    void aCapacityThatNoServerHasIsRefused(int given) {
        slots = given;
        assertThat(problem().get()).contains("capacity").contains("100000");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 100_000})
    void aCapacityInBoundsIsAccepted(int given) {
        slots = given;
        assertThat(problem()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {NOW + DAY + 1, 4_102_444_800_001L, Long.MAX_VALUE - 1, Long.MAX_VALUE})
    void aStartInTheFutureIsRefused(long given) {
        startedAt = given;
        assertThat(problem().get()).contains("born").contains("future");
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, NOW, NOW + DAY})
    void clocksMayDiffer(long given) {
        startedAt = given;
        assertThat(problem()).isEmpty();
    }
}
