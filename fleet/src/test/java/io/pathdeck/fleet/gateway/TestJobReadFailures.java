package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.protocol.query.BatchMissing;
import io.pathdeck.protocol.query.BatchResults;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A job that cannot be read is counted by the reason, so that lost state and no leader differ. */
class TestJobReadFailures {
  private final JobReadFailures failures = new JobReadFailures();

  @ParameterizedTest
  @EnumSource
  void countsFailedCallByItsCause(GroupCallError.Cause cause) {
    GroupCallError error = new GroupCallError("h:1: TIMED_OUT", false, cause, List.of("h:1"));
    failures.onResult("j", List.of(), Result.err(error), 0);
    assertThat(failures.count(JobReadFailures.Reason.of(cause))).isEqualTo(1);
    assertThat(failures.count(JobReadFailures.Reason.MISSING)).isZero();
  }

  @Test
  void countsMissingJobButNoPage() {
    failures.onResult("j", List.of(), Result.ok(new BatchMissing()), 0);
    failures.onResult("j", List.of(), Result.ok(new BatchResults(1, 0, List.of())), 0);
    assertThat(failures.count(JobReadFailures.Reason.MISSING)).isEqualTo(1);
  }
}
