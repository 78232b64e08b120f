package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestTrialPermits {
  private static final RequestFingerprint FIRST = RequestFingerprint.ofPromptPart("svc", 1);
  private static final RequestFingerprint SECOND = RequestFingerprint.ofPromptPart("svc", 2);
  private static final List<RequestFingerprint> BOTH = List.of(FIRST, SECOND);
  private static final long LONGEST_PAUSE_MS = 64_000;

  private final TrialPermits permits = new TrialPermits();

  /** Guards against a call that is never tried since its parts are granted at different times. */
  @Test
  void firstPermitIsKeptUntilTheSecondIsGranted() {
    permits.onGranted(FIRST, 0);
    assertThat(permits.use(BOTH, 1_000)).isFalse();
    permits.onGranted(SECOND, LONGEST_PAUSE_MS);
    assertThat(permits.use(BOTH, LONGEST_PAUSE_MS)).isTrue();
  }

  @Test
  void permitAllowsOneCall() {
    permits.onGranted(FIRST, 0);
    assertThat(permits.use(List.of(FIRST), 0)).isTrue();
    assertThat(permits.use(List.of(FIRST), 0)).isFalse();
  }

  @Test
  void processThatHasAPermitDoesNotAskForAnother() {
    assertThat(permits.shouldAsk(FIRST, 0)).isTrue();
    permits.onGranted(FIRST, 0);
    assertThat(permits.shouldAsk(FIRST, 1_000)).isFalse();
    assertThat(permits.shouldAsk(SECOND, 1_000)).isTrue();
  }

  @Test
  void leaderIsAskedTwiceASecond() {
    assertThat(permits.shouldAsk(FIRST, 0)).isTrue();
    assertThat(permits.shouldAsk(FIRST, 499)).isFalse();
    assertThat(permits.shouldAsk(FIRST, 500)).isTrue();
  }
}
