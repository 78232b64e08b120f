package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TestRunTimeEstimate {
  private final RunTimeEstimate estimate = new RunTimeEstimate();

  @Test
  void longerOutputsTakeLonger() {
    assertThat(estimate.remainingMs(3_000, 0)).isGreaterThan(estimate.remainingMs(300, 0));
  }

  @Test
  void elapsedTimeReducesRemainder() {
    long totalMs = estimate.remainingMs(1_000, 0);
    assertThat(estimate.remainingMs(1_000, 500)).isEqualTo(totalMs - 500);
    assertThat(estimate.remainingMs(1_000, totalMs + 10_000)).isZero();
  }

  @Test
  void estimateFollowsCompletedItems() {
    for (int i = 0; i < 200; i++) {
      estimate.onItemCompleted(1_000, 9_000);
    }
    assertThat(estimate.remainingMs(2_000, 0)).isBetween(17_500L, 18_000L);
  }

  @Test
  void unknownOutputUsesDefault() {
    long before = estimate.remainingMs(1_000, 0);
    estimate.onItemCompleted(0, 60_000);
    assertThat(estimate.remainingMs(1_000, 0)).isEqualTo(before);
    assertThat(estimate.remainingMs(0, 0)).isPositive();
  }

  @Test
  void eventTimeFollowsSamples() {
    assertThat(estimate.eventsRunMs(100)).as("at least one token each").isEqualTo(400);
    for (int i = 0; i < 30; i++) {
      estimate.onEvents(25, 700);
    }
    estimate.onEvents(0, 700);
    assertThat(estimate.eventsRunMs(100)).isBetween(2_780L, 2_800L);
  }
}
