package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TestSuspensionWatch {
  private final SuspensionWatch watch = new SuspensionWatch();

  @Test
  void steadyClockThatStoodStillIsASuspension() {
    assertThat(watch.hasSlept(1_000, 500_000)).isFalse();
    assertThat(watch.hasSlept(1_020, 500_020)).isFalse();
    assertThat(watch.hasSlept(1_021, 505_020)).isTrue();
    assertThat(watch.hasSlept(1_041, 505_040)).isFalse();
  }

  @Test
  void timeThatBothClocksSawIsNone() {
    watch.hasSlept(1_000, 500_000);
    assertThat(watch.hasSlept(6_000, 505_000)).as("a frozen process").isFalse();
    assertThat(watch.hasSlept(6_100, 505_110)).as("a slewed clock").isFalse();
    assertThat(watch.hasSlept(6_200, 503_000)).as("a step backward").isFalse();
  }
}
