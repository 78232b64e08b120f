package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Connections that an engine closes when it ends must not pass for idle for too long. */
class TestIdleTimeouts {
  private static final EngineInstance ENGINE = new EngineInstance("e", "s", "h:1", "z", 4, false);
  private static final long LEARNED_LIMIT_MS = 700;

  private final IdleTimeouts timeouts = new IdleTimeouts();
  private final long defaultLimitMs = timeouts.limitMs("s");

  @Test
  void limitHoldsForServiceWhileEngineIsListed() {
    timeouts.onIdleClosed(ENGINE, 1_000);
    timeouts.onListed(Set.of("e", "other"));
    assertThat(timeouts.limitMs("s")).isEqualTo(LEARNED_LIMIT_MS);
    assertThat(timeouts.limitMs("t")).isEqualTo(defaultLimitMs);
  }

  @Test
  void limitEndsWithEngine() {
    timeouts.onIdleClosed(ENGINE, 1_000);
    timeouts.onListed(Set.of("other"));
    assertThat(timeouts.limitMs("s")).isEqualTo(defaultLimitMs);
  }

  @Test
  void engineThatIsNoLongerListedSetsNoLimit() {
    timeouts.onListed(Set.of("other"));
    timeouts.onIdleClosed(ENGINE, 1_000);
    assertThat(timeouts.limitMs("s")).isEqualTo(defaultLimitMs);
  }
}
