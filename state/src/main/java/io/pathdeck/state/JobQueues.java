package io.pathdeck.state;

import io.pathdeck.protocol.snapshot.QueueRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Jobs with waiting items, by service and tenant.
 *
 * <p>Tenants take turns, and so do the jobs of a tenant, each for a slice of items: a job of many
 * items delays a small one by no more than a slice.
 */
final class JobQueues {
  /** The most items taken from one job in its turn. */
  private static final int MAX_ITEMS_PER_TURN = 8;

  private final Map<String, Map<String, ArrayDeque<Job>>> byService = new TreeMap<>();

  /** One item taken from a job. */
  record Taken(Job job, int index) {}

  void add(Job job) {
    byService
        .computeIfAbsent(job.spec().service(), key -> new LinkedHashMap<>())
        .computeIfAbsent(job.spec().tenant(), key -> new ArrayDeque<>())
        .addLast(job);
  }

  /** Takes up to {@code maxItems} items of a service; an empty tenant means any. */
  List<Taken> take(String service, String tenant, int maxItems) {
    List<Taken> taken = new ArrayList<>();
    Map<String, ArrayDeque<Job>> tenants = byService.get(service);
    if (tenants == null) {
      return taken;
    }
    while (taken.size() < maxItems) {
      String next = tenant.isEmpty() ? firstTenantWithWork(tenants) : tenant;
      ArrayDeque<Job> jobs = next == null ? null : tenants.get(next);
      Job job = jobs == null ? null : firstWithWork(jobs);
      if (job == null) {
        break;
      }
      takeItems(job, Math.min(MAX_ITEMS_PER_TURN, maxItems - taken.size()), taken);
      jobs.addLast(jobs.pollFirst());
      rotate(tenants, next);
    }
    return taken;
  }

  private static String firstTenantWithWork(Map<String, ArrayDeque<Job>> tenants) {
    for (Map.Entry<String, ArrayDeque<Job>> entry : tenants.entrySet()) {
      if (firstWithWork(entry.getValue()) != null) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** Brings the first job with waiting items to the head; jobs that have ended are dropped. */
  private static Job firstWithWork(ArrayDeque<Job> jobs) {
    jobs.removeIf(job -> job.status().isTerminal());
    for (int i = 0; i < jobs.size(); i++) {
      if (jobs.peekFirst().hasWaiting()) {
        return jobs.peekFirst();
      }
      jobs.addLast(jobs.pollFirst());
    }
    return null;
  }

  private static void takeItems(Job job, int count, List<Taken> taken) {
    for (int i = 0; i < count && job.hasWaiting(); i++) {
      taken.add(new Taken(job, job.takeWaiting()));
    }
  }

  private static void rotate(Map<String, ArrayDeque<Job>> tenants, String tenant) {
    ArrayDeque<Job> jobs = tenants.remove(tenant);
    tenants.put(tenant, jobs);
  }

  /** The queues in their order, without the jobs that have ended. */
  List<Object> records() {
    List<Object> records = new ArrayList<>();
    byService.forEach(
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
        byService
            .computeIfAbsent(record.service(), key -> new LinkedHashMap<>())
            .computeIfAbsent(record.tenant(), key -> new ArrayDeque<>());
    record.jobIds().forEach(jobId -> queue.addLast(jobs.get(jobId)));
  }

  void clear() {
    byService.clear();
  }
}
