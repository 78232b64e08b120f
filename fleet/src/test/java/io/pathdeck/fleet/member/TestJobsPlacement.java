package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class TestJobsPlacement {
  private static final int GROUPS = 7;
  private static final int JOBS = 70_000;

  /** Guards against a change of the mapping, after which accepted jobs would not be found. */
  @Test
  void groupOfAnIdIsFixed() {
    assertThat(JobsPlacement.groupOf("955d0aecbae3714a", GROUPS)).isEqualTo(1);
    assertThat(JobsPlacement.groupOf("a61e775513a1963d", GROUPS)).isEqualTo(2);
  }

  @Test
  void jobsAreSpreadEvenly() {
    SplittableRandom random = new SplittableRandom(17);
    int[] counts = new int[GROUPS + 1];
    for (int job = 0; job < JOBS; job++) {
      counts[JobsPlacement.groupOf(Long.toHexString(random.nextLong()), GROUPS)]++;
    }
    assertThat(counts[0]).isZero();
    for (int group = 1; group <= GROUPS; group++) {
      assertThat(counts[group]).isBetween(JOBS / GROUPS * 9 / 10, JOBS / GROUPS * 11 / 10);
    }
  }
}
