package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Retries must be early if a single engine is silent, and late if all are overloaded. */
class TestSilenceTimeout {
  private static final ForwardingSettings SETTINGS = ForwardingSettings.DEFAULT;
  private static final long MIN_MS = SETTINGS.minSilenceTimeoutMs();

  private final SilenceTimeout timeout = new SilenceTimeout(SETTINGS);

  private static SilenceTimeout.Silence waiting(long silentMs) {
    return new SilenceTimeout.Silence(0, false, silentMs, silentMs);
  }

  private static SilenceTimeout.Silence started(long callMs, long engineMs) {
    return new SilenceTimeout.Silence(0, true, callMs, engineMs);
  }

  private void recordWaits(int count, long waitMs) {
    for (int i = 0; i < count; i++) {
      timeout.onFirstBytes(waitMs);
    }
  }

  @Test
  void isMinimalWhileEnginesRespondQuickly() {
    assertThat(timeout.timeoutMs(0)).isEqualTo(MIN_MS);
    recordWaits(100, 60);
    assertThat(timeout.timeoutMs(0)).isEqualTo(MIN_MS);
  }

  @Test
  void growsWithPromptLength() {
    long allowanceMs = 8 * SETTINGS.silenceTimeoutPerThousandTokensMs();
    assertThat(timeout.timeoutMs(8_000)).isEqualTo(MIN_MS + allowanceMs);
  }

  @Test
  void barelyGrowsWithOneSilentEngine() {
    for (int i = 0; i < 50; i++) {
      recordWaits(9, 60);
      timeout.onTimeout(waiting(timeout.timeoutMs(0)));
    }
    assertThat(timeout.timeoutMs(0)).isLessThan(MIN_MS + 150);
  }

  /** Simulates all engines being overloaded, as after a power failure. */
  @Test
  void growsWhenAllEnginesAreOverloaded() {
    for (int i = 0; i < 30; i++) {
      timeout.onTimeout(waiting(timeout.timeoutMs(0)));
    }
    assertThat(timeout.timeoutMs(0)).isGreaterThan(1_200);
    recordWaits(30, 1_200);
    assertThat(timeout.timeoutMs(0)).isGreaterThan(3_000);
  }

  @Test
  void shrinksAfterOverload() {
    recordWaits(50, 1_200);
    recordWaits(100, 60);
    assertThat(timeout.timeoutMs(0)).isEqualTo(MIN_MS);
  }

  /** Callers leave a silent stream after two seconds, however long others wait to begin. */
  @Test
  void startedResponseTimesOutDuringOverload() {
    recordWaits(50, 1_200);
    assertThat(timeout.isExceeded(waiting(1_100))).isFalse();
    assertThat(timeout.isExceeded(started(1_100, 1_100))).isTrue();
    assertThat(timeout.isExceeded(started(900, 900))).isFalse();
  }

  /** An engine may stop a single response and continue the others. */
  @Test
  void startedResponseTimesOutAtActiveEngine() {
    assertThat(timeout.isExceeded(started(1_100, 20))).isTrue();
    assertThat(timeout.isExceeded(started(MIN_MS + 1, 20))).isFalse();
    assertThat(timeout.isExceeded(new SilenceTimeout.Silence(0, false, 1_100, 20))).isFalse();
  }

  /** The pause of a response that has begun tells nothing about waits in queues. */
  @Test
  void startedResponseDoesNotExtendTimeout() {
    for (int i = 0; i < 100; i++) {
      timeout.onTimeout(started(1_000, 1_000));
    }
    assertThat(timeout.timeoutMs(0)).isEqualTo(MIN_MS);
  }
}
