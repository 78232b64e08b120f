package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Requests are sent again soon where one engine is dark, and late where all are crowded. */
class TestSilenceLimit {
  private static final ForwardingSettings SETTINGS = ForwardingSettings.DEFAULT;
  private static final long SHORTEST_MS = SETTINGS.silenceMs();

  private final SilenceLimit limit = new SilenceLimit(SETTINGS);

  private void waits(int count, long waitMs) {
    for (int i = 0; i < count; i++) {
      limit.onFirstBytes(waitMs);
    }
  }

  @Test
  void shortestAtFirstAndWhileEnginesAnswerSoon() {
    assertThat(limit.limitMs(0)).isEqualTo(SHORTEST_MS);
    waits(100, 60);
    assertThat(limit.limitMs(0)).isEqualTo(SHORTEST_MS);
  }

  @Test
  void longPromptsAreGivenTimeToBeRead() {
    long allowanceMs = 8 * SETTINGS.silencePerThousandTokensMs();
    assertThat(limit.limitMs(8_000)).isEqualTo(SHORTEST_MS + allowanceMs);
  }

  @Test
  void oneDarkEngineAmongManyDoesNotMakeTheOthersWait() {
    for (int i = 0; i < 50; i++) {
      waits(9, 60);
      limit.onGivenUp(limit.limitMs(0));
    }
    assertThat(limit.limitMs(0)).isLessThan(SHORTEST_MS + 150);
  }

  /** As after a loss of power: every request waited for over a second, and was sent again twice. */
  @Test
  void growsWhenAllEnginesAreCrowded() {
    for (int i = 0; i < 30; i++) {
      limit.onGivenUp(limit.limitMs(0));
    }
    assertThat(limit.limitMs(0)).isGreaterThan(1_200);
    waits(30, 1_200);
    assertThat(limit.limitMs(0)).isGreaterThan(3_000);
  }

  @Test
  void shrinksAgainWhenTheCrowdIsGone() {
    waits(50, 1_200);
    waits(100, 60);
    assertThat(limit.limitMs(0)).isEqualTo(SHORTEST_MS);
  }
}
