package org.ragwortmoor.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Addresses that are read and written back alike, and texts that are refused. */
class AddressTest {
    @ParameterizedTest
    @ValueSource(strings = {"10.1.0.8:8784", "0.0.0.0:0", "255.255.255.255:65535", "[::1]:7440"})
    void anAddressIsWrittenAsItWasRead(String text) {
        Address address = Address.parse(text).get();
        assertThat(Address.parse(address.toString()).get()).isEqualTo(address);
        assertThat(address.port()).isEqualTo(Integer.parseInt(text.replaceAll(".*:", "")));
        assertThat(text.startsWith("[") || address.toString().equals(text)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "10.1.0.8",
                "10.1.0:1",
                "10.1.0.8.9:1",
                "10.1.0.256:1",
                "10.1.0.0008:1",
                "10.1.0.-1:1",
                "10.1.0. 8:1",
                "10.1..8:1",
                "10.1.0.8:",
                "10.1.0.8:65536",
                "10.1.0.8:1x",
                "[10.1.0.8]:1",
                "::1:7440",
                "localhost:1",
                ":1"
            })
    void whatIsNoNumberAndPortIsRefused(String text) {
        assertThat(Address.parse(text).isLeft()).isTrue();
    }
}
