package io.pathdeck.state;

import io.pathdeck.protocol.snapshot.QueueRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Queues of jobs with waiting items, by service and tenant.
 *
 * <p>Tenants are served round-robin, and so are the jobs of a tenant, with a limited number of
 * items per turn, so that a large job delays a small one by at most one turn.
 */
final class JobQueues {
  /** The maximum number of items taken from one job per turn. */
  private static final int MAX_ITEMS_PER_TURN = 8;

  private final Map<String, Map<String, ArrayDeque<Job>>> queuesByService = new TreeMap<>();

  /** One item taken from a job. */
  record TakenItem(Job job, int index) {}

  void add(Job job) {
    queuesByService
        .computeIfAbsent(job.spec().service(), key -> new LinkedHashMap<>())
        .computeIfAbsent(job.spec().tenant(), key -> new ArrayDeque<>())
        .addLast(job);
  }

  /** Takes up to {@code maxItems} items of a service; an empty tenant means any. */
  List<TakenItem> take(String service, String tenant, int maxItems) {
    List<TakenItem> taken = new ArrayList<>();
    Map<String, ArrayDeque<Job>> tenants = queuesByService.get(service);
    if (tenants == null) {
      return taken;
    }
    while (taken.size() < maxItems) {
      String nextTenant = tenant.isEmpty() ? firstTenantWithWaitingJob(tenants) : tenant;
      ArrayDeque<Job> jobs = nextTenant == null ? null : tenants.get(nextTenant);
      Job job = jobs == null ? null : rotateToWaitingJob(jobs);
      if (job == null) {
        break;
      }
      takeItems(job, Math.min(MAX_ITEMS_PER_TURN, maxItems - taken.size()), taken);
      jobs.addLast(jobs.pollFirst());
      moveToEnd(tenants, nextTenant);
    }
    return taken;
  }

  private static String firstTenantWithWaitingJob(Map<String, ArrayDeque<Job>> tenants) {
    for (Map.Entry<String, ArrayDeque<Job>> entry : tenants.entrySet()) {
      if (rotateToWaitingJob(entry.getValue()) != null) {
        return entry.getKey();
      }
    }
    return null;
  }

  /**
   * Removes jobs that have ended and rotates the queue until its head has waiting items. Returns
   * the head, or null when no job has waiting items.
   */
  private static Job rotateToWaitingJob(ArrayDeque<Job> jobs) {
    jobs.removeIf(job -> job.status().isTerminal());
    for (int i = 0; i < jobs.size(); i++) {
      if (jobs.peekFirst().hasWaiting()) {
        return jobs.peekFirst();
      }
      jobs.addLast(jobs.pollFirst());
    }
    return null;
  }

  private static void takeItems(Job job, int count, List<TakenItem> taken) {
    for (int i = 0; i < count && job.hasWaiting(); i++) {
      taken.add(new TakenItem(job, job.takeWaiting()));
    }
  }

  private static void moveToEnd(Map<String, ArrayDeque<Job>> tenants, String tenant) {
    ArrayDeque<Job> jobs = tenants.remove(tenant);
    tenants.put(tenant, jobs);
  }

  /** The queues in order, without the jobs that have ended. */
  List<Object> records() {
    List<Object> records = new ArrayList<>();
    queuesByService.forEach(
        (service, tenants) ->
            tenants.forEach((tenant, jobs) -> records.add(record(service, tenant, jobs))));
    return records;
  }

  private static QueueRecord record(String service, String tenant, ArrayDeque<Job> jobs) {
    List<String> jobIds = new ArrayList<>();
    for (Job job : jobs) {
      if (!job.status().isTerminal()) {
        jobIds.add(job.spec().jobId());
      }
    }
    return new QueueRecord(service, tenant, jobIds);
  }

  void restore(QueueRecord record, Map<String, Job> jobs) {
    ArrayDeque<Job> queue =
        queuesByService
            .computeIfAbsent(record.service(), key -> new LinkedHashMap<>())
            .computeIfAbsent(record.tenant(), key -> new ArrayDeque<>());
    record.jobIds().forEach(jobId -> queue.addLast(jobs.get(jobId)));
  }

  void clear() {
    queuesByService.clear();
  }
}
