package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import org.junit.jupiter.api.Test;

class TestCrashCauseDetector {
  private static final RequestFingerprint BAD = new RequestFingerprint(1, "bad");
  private static final RequestFingerprint OTHER = new RequestFingerprint(2, "other");
  private static final long LATER_MS = 61_000;

  private final CrashCauseDetector detector = new CrashCauseDetector();

  private void crashed(RequestFingerprint request, String... engines) {
    for (String engine : engines) {
      detector.add(new EngineEnd(engine, request, false), 0);
    }
  }

  private void crashedWhileResponding(RequestFingerprint request, String... engines) {
    for (String engine : engines) {
      detector.add(new EngineEnd(engine, request, true), 0);
    }
  }

  @Test
  void threeCrashesMakeACause() {
    crashed(BAD, "a", "b");
    assertThat(detector.causes(known -> false)).isEmpty();
    crashed(BAD, "c");
    assertThat(detector.causes(known -> false)).containsExactly(BAD);
  }

  @Test
  void countsRepeatedCrashOnce() {
    crashed(BAD, "a", "a", "a", "b");
    assertThat(detector.causes(known -> false)).isEmpty();
  }

  @Test
  void concurrentRequestIsNoCause() {
    crashed(OTHER, "a", "b", "c");
    crashed(BAD, "a", "b", "c", "d");
    assertThat(detector.causes(known -> false)).containsExactly(BAD);
  }

  /**
   * Two requests crash engines, and an innocent one ran beside both before either had three
   * crashes.
   */
  @Test
  void clearsInnocentOnceCausesAreFound() {
    crashed(OTHER, "a", "b", "c");
    crashed(BAD, "a", "b");
    assertThat(detector.causes(known -> false)).containsExactly(OTHER);
    crashed(BAD, "d", "e");
    assertThat(detector.causes(OTHER::equals)).containsExactly(BAD);
    assertThat(detector.hasSufficientEvidence(OTHER)).isTrue();
  }

  @Test
  void tieFavorsQuarantinedRequest() {
    crashed(BAD, "a", "b", "c");
    crashed(OTHER, "a", "b", "c");
    assertThat(detector.causes(OTHER::equals)).containsExactly(OTHER);
    assertThat(detector.causes(BAD::equals)).containsExactly(BAD);
  }

  @Test
  void unexplainedCrashesMakeSecondCause() {
    crashed(BAD, "a", "b", "c", "d");
    crashed(OTHER, "a", "e", "f", "g");
    assertThat(detector.causes(known -> false)).containsExactly(BAD, OTHER);
  }

  @Test
  void startedResponseCountsHalf() {
    crashedWhileResponding(OTHER, "a", "b", "c", "d", "e");
    assertThat(detector.causes(known -> false)).isEmpty();
    crashedWhileResponding(OTHER, "f");
    assertThat(detector.causes(known -> false)).containsExactly(OTHER);
  }

  @Test
  void servedRequestIsCleared() {
    crashed(BAD, "a", "b");
    detector.clear(BAD);
    crashed(BAD, "c");
    assertThat(detector.causes(known -> false)).isEmpty();
  }

  @Test
  void ignoresOldCrashes() {
    crashed(BAD, "a", "b");
    detector.expire(LATER_MS);
    crashed(BAD, "c");
    assertThat(detector.causes(known -> false)).isEmpty();
  }

  @Test
  void evictsOldestRequests() {
    for (int number = 0; number < 10_000; number++) {
      crashed(new RequestFingerprint(number, "request-" + number), "a");
    }
    assertThat(detector.mayContain(0)).isFalse();
    assertThat(detector.mayContain(9_999)).isTrue();
  }
}
