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

  private static StreamOrigin origin(String softwareVersion) {
    return new StreamOrigin("s", softwareVersion);
  }

  private void list(long nowMs, String... softwareVersions) {
    versions.onList(engines(softwareVersions), nowMs);
  }

  @Test
  void versionThatHasLeftIsRemembered() {
    list(0, "v1", "v1");
    list(1_000, "v1", "v2");
    list(5_000, "v2");
    assertThat(versions.recentVersions("s", WINDOW_MS, 15_000)).containsExactly("v1", "v2");
    assertThat(versions.recentVersions("s", WINDOW_MS, 15_001)).containsExactly("v2");
    assertThat(versions.retiredOrigins(15_001)).containsExactly(origin("v1"));
    list(5_001 + SoftwareVersions.RETENTION_MS, "v2");
    assertThat(versions.retiredOrigins(5_001 + SoftwareVersions.RETENTION_MS)).isEmpty();
  }

  @Test
  void versionThatOthersSawLeaveCounts() {
    versions.onView(engines("v2"), List.of(origin("v1")), List.of(), 0);
    assertThat(versions.recentVersions("s", WINDOW_MS, 1)).containsExactly("v1", "v2");
    assertThat(versions.isSettled(engines("v2").get(0))).isTrue();
  }

  @Test
  void atTheFirstSightTheMostCommonVersionIsSettled() {
    list(0, "v2", "v1", "v1");
    assertThat(versions.joiningOrigins(0)).containsExactly(origin("v2"));
    assertThat(versions.joiningOrigins(SoftwareVersions.SETTLING_MS)).isEmpty();
  }

  /** A gateway that starts beside a version that has just joined cannot know it by itself. */
  @Test
  void versionSettlesOnlyByTheLeadersWord() {
    EngineInstance joined = engines("v2").get(0);
    versions.onView(engines("v2", "v2", "v1"), List.of(), List.of(origin("v2")), 0);
    assertThat(versions.isSettled(joined)).isFalse();
    assertThat(versions.isSettled(engines("v1").get(0))).isTrue();
    versions.onView(engines("v2", "v2", "v1"), List.of(), List.of(), 100);
    assertThat(versions.isSettled(joined)).isTrue();
  }

  @Test
  void coordinatorThatBeginsToLeadGoesOnWithTheTimeOfJoining() {
    versions.onView(engines("v1", "v2"), List.of(), List.of(origin("v2")), 1_000);
    list(1_500, "v1", "v2");
    assertThat(versions.joiningOrigins(999 + SoftwareVersions.SETTLING_MS))
        .containsExactly(origin("v2"));
    assertThat(versions.joiningOrigins(1_000 + SoftwareVersions.SETTLING_MS)).isEmpty();
  }

  @Test
  void longRememberedVersionThatReturnsHasToSettleAgain() {
    list(0, "v1", "v2");
    list(1, "v1");
    list(2 + SoftwareVersions.RETENTION_MS, "v1");
    long backMs = 10 + SoftwareVersions.RETENTION_MS;
    list(backMs, "v1", "v2");
    assertThat(versions.joiningOrigins(backMs)).containsExactly(origin("v2"));
  }

  @Test
  void versionThatReturnsAfterOthersMayHaveForgottenItSettlesAgain() {
    list(0, "v1", "v2");
    list(1_000, "v1");
    long shortlyMs = 1_000 + SoftwareVersions.MAX_ABSENCE_MS;
    list(shortlyMs, "v1", "v2");
    assertThat(versions.joiningOrigins(shortlyMs)).isEmpty();
    list(shortlyMs + 1, "v1");
    long laterMs = shortlyMs + 2 + SoftwareVersions.MAX_ABSENCE_MS;
    list(laterMs, "v1", "v2");
    assertThat(versions.joiningOrigins(laterMs)).containsExactly(origin("v2"));
  }

  @Test
  void coordinatorThatBeginsToLeadKnowsThatAVersionHasReturned() {
    versions.onView(engines("v1", "v2"), List.of(), List.of(), 0);
    versions.onView(engines("v1"), List.of(origin("v2")), List.of(), 1_000);
    versions.onView(engines("v1", "v2"), List.of(), List.of(origin("v2")), 3_000);
    list(3_100, "v1", "v2");
    assertThat(versions.joiningOrigins(3_100)).containsExactly(origin("v2"));
  }

  /** Others that have seen it leave long ago may not count it any more. */
  @Test
  void versionThatACoordinatorHasNotSeenListedSettlesAgain() {
    versions.onView(engines("v1"), List.of(origin("v2")), List.of(), 0);
    versions.onViewsMissed(List.of(origin("v2")), 30_000);
    assertThat(versions.recentVersions("s", WINDOW_MS, 31_000)).containsExactly("v1", "v2");
    list(31_000, "v1", "v2");
    assertThat(versions.joiningOrigins(31_000)).containsExactly(origin("v2"));
  }

  @Test
  void onlyVersionOfAServiceNeedNotSettleAgain() {
    list(0, "v1");
    list(1_000);
    list(9_000, "v1");
    assertThat(versions.joiningOrigins(9_000)).isEmpty();
  }
}
