package io.pathdeck.fleet.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class TestRetryAfterSchedule {

  @Test
  void assignsDistinctTimes() {
    RetryAfterSchedule schedule = new RetryAfterSchedule();
    Set<Long> delaysMs = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      delaysMs.add(schedule.retryAfterMs(400, 5_000, 0));
    }
    assertThat(delaysMs).hasSize(40).allMatch(afterMs -> afterMs >= 400 && afterMs <= 600);
  }

  @Test
  void spreadsCallersWhenAllTimesAreReserved() {
    RetryAfterSchedule schedule = new RetryAfterSchedule();
    Set<Long> delaysMs = new HashSet<>();
    for (int i = 0; i < 500; i++) {
      delaysMs.add(schedule.retryAfterMs(100, 900, 0));
    }
    assertThat(delaysMs).hasSizeGreaterThan(100);
  }

  @Property
  void retryAfterIsWithinThirdOfRemainingTime(
      @ForAll @LongRange(min = 0, max = 100_000) long expectedWaitMs,
      @ForAll @LongRange(min = 60, max = 10_000) long timeLeftMs) {
    RetryAfterSchedule schedule = new RetryAfterSchedule();
    for (int i = 0; i < 20; i++) {
      assertThat(schedule.retryAfterMs(expectedWaitMs, timeLeftMs, i))
          .isBetween(1L, timeLeftMs / 3);
    }
  }
}
