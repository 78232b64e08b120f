package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Retries must be early if a single engine is silent, and late if all are overloaded. */
class TestSilenceTimeout {
  private static final ForwardingSettings SETTINGS = ForwardingSettings.DEFAULT;
  private static final long MIN_MS = SETTINGS.minSilenceTimeoutMs();

  private final SilenceTimeout timeout = new SilenceTimeout(SETTINGS);

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
      timeout.onTimeout(timeout.timeoutMs(0));
    }
    assertThat(timeout.timeoutMs(0)).isLessThan(MIN_MS + 150);
  }

  /** Simulates all engines being overloaded, as after a power failure. */
  @Test
  void growsWhenAllEnginesAreOverloaded() {
    for (int i = 0; i < 30; i++) {
      timeout.onTimeout(timeout.timeoutMs(0));
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
}
