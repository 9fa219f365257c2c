package org.ragwortmoor.coordination.callers;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against connections that keep others out or take the memory of a process. */
class OpenConnectionsTest {
    private final OpenConnections<String> connections = new OpenConnections<>(2, 100);

    @Test
    void aNewConnectionDisplacesTheOneWithoutARequestForLongest() {
        assertThat(connections.open("a").isEmpty()).isTrue();
        assertThat(connections.open("b").isEmpty()).isTrue();
        connections.requested("a");
        assertThat(connections.open("c")).containsExactly("b");
        assertThat(connections.size()).isEqualTo(2);
    }

    @Test
    void theConnectionThatHoldsMostIsClosed() {
        connections.open("a");
        connections.open("b");
        assertThat(connections.hold("a", 70).isEmpty()).isTrue();
        assertThat(connections.hold("b", 40)).containsExactly("a");
        assertThat(connections.hold("b", 100).isEmpty()).isTrue();
    }

    @Test
    void aConnectionThatHasEndedHoldsNothing() {
        connections.open("a");
        connections.hold("a", 100);
        connections.remove("a");
        assertThat(connections.hold("a", 100).isEmpty()).isTrue();
        connections.open("b");
        assertThat(connections.hold("b", 100).isEmpty()).isTrue();
    }
}
