package io.pathdeck.testkit;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.settings.HostPort;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TestLoopbackPorts {
  private static final int TAKES = 200;
  private static final int PORTS_PER_TAKE = 3;

  /** A controller's address was handed out again before it was bound, and its start failed. */
  @Test
  void portIsHandedOutOnceThoughNothingBindsIt() {
    Set<HostPort> taken = new HashSet<>();
    for (int i = 0; i < TAKES; i++) {
      taken.addAll(LoopbackPorts.take(PORTS_PER_TAKE));
    }
    assertThat(taken).hasSize(TAKES * PORTS_PER_TAKE);
  }

  @Test
  void portsLieBelowThoseOfOutgoingConnections() {
    assertThat(LoopbackPorts.take(PORTS_PER_TAKE))
        .allMatch(address -> address.port() >= LoopbackPorts.FIRST)
        .allMatch(address -> address.port() < LoopbackPorts.END);
  }
}
