package io.pathdeck.testkit.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.DeclarationApplied;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.serving.engine.EngineRequest;
import io.pathdeck.serving.http.Json;
import io.pathdeck.testkit.engine.EmulatedText;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * A simple model of what must hold, fed only with what callers, operators and engines saw.
 *
 * <p>It shares no code with the system's own bookkeeping: engines report what they started, callers
 * report the answers they got.
 */
final class Oracle {
  /** By when an accepted configuration must be in force wherever requests are served. */
  static final long IN_FORCE_MS = 3_000;

  /** By when nothing new may start on a leaving engine or for a cancelled job. */
  private static final long STOP_MS = 4_000;

  private static final int MAX_TEXT = 400;

  /** What callers know of a job. */
  static final class JobTruth {
    final String jobId;
    final Map<String, ObjectNode> bodies;
    final boolean repeatable;
    boolean accepted;
    boolean cancelRequested;
    long cancelledAtMs = Long.MAX_VALUE;
    final Map<String, String> observed = new HashMap<>();

    JobTruth(String jobId, Map<String, ObjectNode> bodies, boolean repeatable) {
      this.jobId = jobId;
      this.bodies = bodies;
      this.repeatable = repeatable;
    }
  }

  private record Leadership(int group, long term) {}

  private final Simulation simulation;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, JobTruth> jobs = new TreeMap<>();
  private final Map<Leadership, Integer> leaders = new HashMap<>();
  private final TreeMap<Long, Long> acceptedAtMsByVersion = new TreeMap<>();
  private final Map<Long, String> winners = new HashMap<>();
  private final Map<String, CommandResult> answers = new HashMap<>();
  private final Set<String> acceptedTenants = new HashSet<>();
  private final Set<String> tenantsNotRun = new HashSet<>();
  private final Map<String, Long> drainingSinceMs = new TreeMap<>();
  private final Map<String, Long> servedVersions = new HashMap<>();
  private final Set<String> startedResponses = new HashSet<>();
  private final Set<String> refusedResponses = new HashSet<>();
  private final Map<String, Integer> runsOfUnrepeatable = new HashMap<>();

  /** A broken promise. */
  record Violation(Promise promise, String text) {}

  Oracle(Simulation simulation) {
    this.simulation = simulation;
  }

  void violation(Promise promise, String text) {
    String shown = text.length() > MAX_TEXT ? text.substring(0, MAX_TEXT) + " ..." : text;
    violations.add(new Violation(promise, "at " + simulation.nowMs() + " ms: " + shown));
  }

  List<Violation> violations() {
    return violations;
  }

  // ---- engines, the witnesses

  void onEngineStarted(String engine, EngineRequest request, String prompt) {
    long nowMs = simulation.nowMs();
    simulation.trace(engine + " " + request.attemptId());
    startedResponses.add(request.responseId());
    if (refusedResponses.contains(request.responseId())) {
      violation(Promise.REFUSED_WAS_NOT_RUN, request.responseId() + " ran after it was refused");
    }
    Integer runs = runsOfUnrepeatable.computeIfPresent(prompt, (key, count) -> count + 1);
    if (runs != null && runs > 1) {
      violation(Promise.AT_MOST_ONCE, request.responseId() + " ran " + runs + " times");
    }
    Long since = drainingSinceMs.get(engine);
    if (since != null && nowMs - since > STOP_MS) {
      violation(Promise.LEAVING_GETS_NO_WORK, engine + " got " + request.attemptId());
    }
    checkCancelled(request, nowMs);
  }

  private void checkCancelled(EngineRequest request, long nowMs) {
    int end = request.responseId().lastIndexOf('-');
    JobTruth job = end < 0 ? null : jobs.get(request.responseId().substring(0, end));
    if (job != null && nowMs - STOP_MS > job.cancelledAtMs) {
      violation(Promise.CANCELLED_JOB_STOPS, request.responseId() + " started after the cancel");
    }
  }

  /** From now on the work with this prompt must run at most once. */
  void registerUnrepeatable(String prompt) {
    runsOfUnrepeatable.putIfAbsent(prompt, 0);
  }

  void onDraining(String engine) {
    drainingSinceMs.put(engine, simulation.nowMs());
  }

  void onDrainingEnds(String engine) {
    drainingSinceMs.remove(engine);
  }

  Optional<String> anyDrainingEngine() {
    return drainingSinceMs.keySet().stream().findFirst();
  }

  // ---- online callers

  void onRefusedAsNotRun(String responseId) {
    refusedResponses.add(responseId);
    if (startedResponses.contains(responseId)) {
      violation(Promise.REFUSED_WAS_NOT_RUN, responseId + " was refused after it had started");
    }
  }

  /** A node serves a request under the configuration it has. */
  void onServed(SimNode node) {
    long version = node.configurationVersion();
    long floor = 0;
    for (Map.Entry<Long, Long> accepted : acceptedAtMsByVersion.entrySet()) {
      if (accepted.getValue() <= simulation.nowMs() - IN_FORCE_MS) {
        floor = accepted.getKey();
      }
    }
    if (version < floor) {
      violation(
          Promise.CONFIGURATION_IN_FORCE,
          node.name + " serves under version " + version + ", accepted was " + floor);
    }
    long before = servedVersions.getOrDefault(node.name, 0L);
    if (version < before) {
      violation(
          Promise.CONFIGURATION_IN_FORCE,
          node.name + " went back from version " + before + " to " + version);
    }
    servedVersions.put(node.name, version);
  }

  // ---- operators

  /**
   * The answer of a command.
   *
   * @param key names the command across resends
   * @param expectedVersion the version that the command builds on, or -1 for any
   */
  void onOperatorAnswer(String key, String tenant, long expectedVersion, CommandResult answer) {
    CommandResult before = answers.putIfAbsent(key, answer);
    if (before != null) {
      if (!before.equals(answer)) {
        violation(
            Promise.RESENT_COMMAND_ANSWERED_ALIKE,
            key + " was answered " + before + " and then " + answer);
      }
      return;
    }
    if (answer instanceof DeclarationApplied applied) {
      String winner = winners.putIfAbsent(applied.version(), key);
      if (winner != null) {
        violation(
            Promise.ONE_WINNER_PER_VERSION,
            key + " and " + winner + " both won version " + applied.version());
      }
      if (expectedVersion >= 0 && applied.version() != expectedVersion + 1) {
        violation(
            Promise.ONE_WINNER_PER_VERSION,
            key + " expected version " + expectedVersion + " and won " + applied.version());
      }
      acceptedAtMsByVersion.put(applied.version(), simulation.nowMs());
      acceptedTenants.add(tenant);
    } else {
      tenantsNotRun.add(tenant);
    }
  }

  void onOperatorCommandNotRun(String tenant) {
    tenantsNotRun.add(tenant);
  }

  /** The highest version that an operator was told. */
  long highestAcceptedVersion() {
    return acceptedAtMsByVersion.isEmpty() ? 0 : acceptedAtMsByVersion.lastKey();
  }

  /** A read that began after {@code floor} was accepted. */
  void onDeclarationRead(long version, Set<String> tenants, long floor) {
    if (version < floor) {
      violation(
          Promise.CONFIGURATION_IN_FORCE,
          "a read returned version " + version + " after " + floor + " was accepted");
    }
    for (String tenant : tenants) {
      if (tenantsNotRun.contains(tenant)) {
        violation(
            Promise.REFUSED_WAS_NOT_RUN,
            "the change " + tenant + " took effect by version " + version);
      }
    }
  }

  /** The declaration after all faults have ended. */
  void onFinalDeclaration(long version, Set<String> tenants) {
    onDeclarationRead(version, tenants, highestAcceptedVersion());
    acceptedTenants.remove("");
    for (String tenant : acceptedTenants) {
      if (!tenants.contains(tenant)) {
        violation(Promise.CONFIGURATION_IN_FORCE, "the accepted change " + tenant + " is gone");
      }
    }
  }

  // ---- batch callers

  JobTruth addJob(JobTruth job) {
    jobs.put(job.jobId, job);
    return job;
  }

  Iterable<JobTruth> jobs() {
    return jobs.values();
  }

  void onCancelled(JobTruth job, JobStatus status) {
    if (!status.isTerminal()) {
      violation(Promise.CANCELLED_JOB_STOPS, job.jobId + " is " + status + " after its cancel");
    }
    job.cancelledAtMs = Math.min(job.cancelledAtMs, simulation.nowMs());
  }

  /** All results of a job, as read from the system. */
  void onResults(JobTruth job, List<byte[]> lines) {
    Map<String, String> current = new HashMap<>();
    for (byte[] line : lines) {
      ObjectNode result = Json.parseObject(line).orElse(Json.object());
      String customId = result.path("custom_id").asText();
      if (!job.bodies.containsKey(customId)) {
        violation(Promise.WHOLE_OWN_ANSWER, job.jobId + " has a result of " + customId);
      } else if (current.put(customId, new String(line, StandardCharsets.UTF_8)) != null) {
        violation(Promise.EXACTLY_ONCE_AND_READABLE, customId + " has two results");
      } else {
        checkAnswer(job, customId, result);
      }
    }
    job.observed.forEach(
        (customId, before) -> {
          if (!before.equals(current.get(customId))) {
            violation(
                Promise.EXACTLY_ONCE_AND_READABLE, "the result of " + customId + " has changed");
          }
        });
    job.observed.putAll(current);
  }

  private void checkAnswer(JobTruth job, String customId, ObjectNode result) {
    if (result.path("response").isMissingNode() || result.path("response").isNull()) {
      if (job.repeatable) {
        violation(Promise.EXACTLY_ONCE_AND_READABLE, customId + " failed: " + result.path("error"));
      }
      return;
    }
    String text = EmulatedText.ofResult(result);
    String expected = EmulatedText.answer(job.bodies.get(customId));
    if (!text.equals(expected)) {
      violation(Promise.WHOLE_OWN_ANSWER, customId + " got \"" + text + "\"");
    }
  }

  // ---- replicas

  /** At most one replica leads a group in a term. */
  void observeReplicas(SimController controller) {
    controller
        .groups()
        .forEach(
            (group, runtime) -> {
              if (runtime.replica().role() == ReplicaRole.LEADER) {
                Leadership leadership = new Leadership(group, runtime.replica().term());
                Integer other = leaders.putIfAbsent(leadership, controller.id());
                if (other != null && other != controller.id()) {
                  violation(
                      Promise.REPLICAS_AGREE,
                      controller.id() + " and " + other + " both lead " + leadership);
                }
              }
            });
  }
}
