package io.pathdeck.fleet.gateway;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.gateway.JobsGroupLocator.JobsGroup;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.protocol.query.BatchMissing;
import io.pathdeck.protocol.query.QueryResult;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Logs and counts the reads of batch jobs that found nothing or were not answered. Thread-safe. */
final class JobReadFailures {
  private static final EventLog EVENTS = EventLog.of(JobReadFailures.class);

  /** Why a job could not be read. */
  enum Reason {
    /** No group that may hold the job has it, or the item, for this caller. */
    MISSING,
    /** This gateway does not know the groups yet. */
    GROUPS_UNKNOWN,
    /** No address of a member of the group is known. */
    NO_MEMBER_KNOWN,
    /** The members that were asked know no leader. */
    NO_LEADER,
    /** The leader could not answer yet. */
    LEADER_UNAVAILABLE,
    /** The last member that was asked was not reached or did not answer in time. */
    UNREACHABLE;

    static Reason of(GroupCallError.Cause cause) {
      return valueOf(cause.name());
    }
  }

  private final Map<Reason, LongAdder> counts = new EnumMap<>(Reason.class);

  JobReadFailures() {
    for (Reason reason : Reason.values()) {
      counts.put(reason, new LongAdder());
    }
  }

  /** Records the result of a read if it failed. */
  void onResult(
      String jobId,
      List<JobsGroup> groups,
      Result<QueryResult, GroupCallError> result,
      long startNs) {
    if (!result.isOk()) {
      GroupCallError error = result.error();
      Reason reason = Reason.of(error.cause());
      record(jobId, reason, groups, error.askedMembers(), error.reason(), startNs);
    } else if (result.value() instanceof BatchMissing) {
      record(jobId, Reason.MISSING, groups, List.of(), "", startNs);
    }
  }

  /** Records a read that came before the groups were known. */
  void onGroupsUnknown(String jobId, long startNs) {
    record(jobId, Reason.GROUPS_UNKNOWN, List.of(), List.of(), "", startNs);
  }

  private void record(
      String jobId,
      Reason reason,
      List<JobsGroup> groups,
      List<String> askedMembers,
      String lastError,
      long startNs) {
    counts.get(reason).increment();
    EVENTS.log(
        EventCode.JOB_NOT_READABLE,
        "job",
        jobId,
        "reason",
        reason,
        "groups",
        groups.stream().map(JobsGroup::group).toList(),
        "asked",
        askedMembers,
        "last_error",
        lastError,
        "took_ms",
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
  }

  long count(Reason reason) {
    return counts.get(reason).sum();
  }

  void bindTo(MeterRegistry registry) {
    counts.forEach(
        (reason, count) ->
            FunctionCounter.builder("pathdeck.job.reads.failed", count, LongAdder::sum)
                .tag("reason", reason.name().toLowerCase(Locale.ROOT))
                .register(registry));
  }
}
