package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Evidence that grows old must not clear a request that is held back.
 *
 * <p>A request was held after six engines had ended while they answered it. Some of these ends grew
 * older than the window; those left were enough to judge it and too few to make it a cause, so the
 * coordinator released it with the next notice, though no other request explained the ends.
 */
class TestEvidenceExpiry {
  private static final RequestFingerprint BAD = new RequestFingerprint(1, "bad");
  private static final long LATER_MS = 40_000;
  private static final long FIRST_CRASHES_EXPIRED_MS = 61_000;

  private final CrashCauseDetector detector = new CrashCauseDetector();

  private void crashedWhileResponding(long atMs, List<String> engines) {
    engines.forEach(engine -> detector.add(new EngineEnd(engine, BAD, true), atMs));
  }

  @Test
  void expiredEvidenceDoesNotReleaseRequest() {
    crashedWhileResponding(0, List.of("a", "b", "c"));
    crashedWhileResponding(LATER_MS, List.of("d", "e", "f"));
    assertThat(detector.causes(held -> false)).containsExactly(BAD);
    detector.expire(FIRST_CRASHES_EXPIRED_MS);
    boolean released =
        detector.hasSufficientEvidence(BAD) && !detector.causes(BAD::equals).contains(BAD);
    assertThat(released).as("nothing else explains the ends").isFalse();
  }
}
