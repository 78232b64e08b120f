package io.pathdeck.fleet.eligibility;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestSoftwareVersions {
  private static final long WINDOW_MS = 10_000;

  private final SoftwareVersions versions = new SoftwareVersions();

  private static List<EngineInstance> engines(String... softwareVersions) {
    List<EngineInstance> engines = new ArrayList<>();
    for (String each : softwareVersions) {
      EngineInstance engine = new EngineInstance("e" + engines.size(), "s", "h:1", "z", 8, false);
      engines.add(engine.withSoftwareVersion(each));
    }
    return engines;
  }

  private void list(long nowMs, String... softwareVersions) {
    versions.onEngines(engines(softwareVersions), List.of(), nowMs);
  }

  @Test
  void versionThatHasLeftIsRemembered() {
    list(0, "v1", "v1");
    list(1_000, "v1", "v2");
    list(5_000, "v2");
    assertThat(versions.recentVersions("s", WINDOW_MS, 15_000)).containsExactly("v1", "v2");
    assertThat(versions.recentVersions("s", WINDOW_MS, 15_001)).containsExactly("v2");
    assertThat(versions.retiredOrigins(15_001)).containsExactly(new StreamOrigin("s", "v1"));
    list(5_001 + SoftwareVersions.RETENTION_MS, "v2");
    assertThat(versions.retiredOrigins(5_001 + SoftwareVersions.RETENTION_MS)).isEmpty();
  }

  @Test
  void versionThatOthersSawLeaveCounts() {
    versions.onEngines(engines("v2"), List.of(new StreamOrigin("s", "v1")), 0);
    assertThat(versions.recentVersions("s", WINDOW_MS, 1)).containsExactly("v1", "v2");
    assertThat(versions.isSettled(engines("v2").get(0), 1)).isTrue();
  }

  @Test
  void atTheFirstSightTheMostCommonVersionIsSettled() {
    list(0, "v2", "v1", "v1");
    EngineInstance rare = engines("v2").get(0);
    assertThat(versions.isSettled(engines("v1").get(0), 0)).isTrue();
    assertThat(versions.isSettled(rare, 0)).isFalse();
    assertThat(versions.isSettled(rare, SoftwareVersions.SETTLING_MS)).isTrue();
  }

  @Test
  void longRememberedVersionThatReturnsHasToSettleAgain() {
    list(0, "v1", "v2");
    list(1, "v1");
    list(2 + SoftwareVersions.RETENTION_MS, "v1");
    long backMs = 10 + SoftwareVersions.RETENTION_MS;
    list(backMs, "v1", "v2");
    assertThat(versions.isSettled(engines("v2").get(0), backMs)).isFalse();
  }
}
