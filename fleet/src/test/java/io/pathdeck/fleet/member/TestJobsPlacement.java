package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
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

  /** A change of what is permitted must move no job whose group stays permitted. */
  @Test
  void jobStaysInItsGroupWhileThatIsPermitted() {
    SplittableRandom random = new SplittableRandom(17);
    int[] counts = new int[GROUPS + 1];
    List<Integer> permitted = List.of(2, 5, 6);
    for (int job = 0; job < JOBS; job++) {
      String id = Long.toHexString(random.nextLong());
      int group = JobsPlacement.groupOf(id, GROUPS);
      int restricted = JobsPlacement.groupOf(id, GROUPS, permitted);
      counts[restricted]++;
      assertThat(restricted).isIn(permitted);
      assertThat(!permitted.contains(group) || restricted == group).isTrue();
    }
    for (int group : permitted) {
      assertThat(counts[group]).isBetween(JOBS / 3 * 8 / 10, JOBS / 3 * 12 / 10);
    }
  }
}
