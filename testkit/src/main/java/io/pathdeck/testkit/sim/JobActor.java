package io.pathdeck.testkit.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControllerClient;
import io.pathdeck.protocol.command.AppendFileChunk;
import io.pathdeck.protocol.command.CancelJob;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CreateFile;
import io.pathdeck.protocol.command.JobAccepted;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.SealFile;
import io.pathdeck.protocol.command.SubmitJob;
import io.pathdeck.protocol.model.JobSpec;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.protocol.model.JobView;
import io.pathdeck.protocol.query.JobResult;
import io.pathdeck.protocol.query.LinesResult;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadJob;
import io.pathdeck.protocol.query.ReadResults;
import io.pathdeck.serving.http.Json;
import io.pathdeck.state.PartitionIds;
import io.pathdeck.testkit.engine.EmulatedText;
import io.pathdeck.testkit.load.Prompts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A batch caller: submits a job, resends it, perhaps cancels it, and reads its results. */
final class JobActor {
  private static final long CALL_TIMEOUT_MS = 4_000;
  private static final long POLL_MS = 400;
  private static final long RETRY_MS = 200;
  private static final long WINDOW_MS = 24 * 60 * 60 * 1_000L;
  private static final int MAX_BYTES = 1 << 20;
  private static final double CANCEL_CHANCE = 0.2;
  private static final double RESEND_CHANCE = 0.3;
  private static final double NON_REPEATABLE_CHANCE = 0.25;

  private final SimFleet fleet;
  private final Simulation simulation;
  private final Oracle oracle;
  private final ControllerClient client;
  private final int partition;
  private final String fileId;
  private final JobSpec spec;
  private final List<byte[]> lines = new ArrayList<>();
  private final Oracle.JobTruth truth;
  private final boolean isLoad;
  private boolean ended;
  private int succeeded;

  JobActor(SimFleet fleet, int number, int items) {
    this.fleet = fleet;
    this.simulation = fleet.simulation();
    this.oracle = fleet.oracle();
    this.client = fleet.controllerClient(fleet.callers());
    this.partition = 1 + number % SimFleet.PARTITIONS;
    this.fileId = PartitionIds.create("file_", partition, number, simulation.random().nextLong());
    this.spec = newSpec(number, !simulation.chance(NON_REPEATABLE_CHANCE));
    this.isLoad = false;
    this.truth =
        oracle.addJob(
            new Oracle.JobTruth(spec.jobId(), newItems(number, items), spec.repeatable()));
  }

  /** A job of the load experiments: repeatable, never cancelled, with items of one size. */
  static JobActor ofLoad(
      SimFleet fleet, int number, int items, int promptTokens, int answerTokens) {
    return new JobActor(fleet, number, items, promptTokens, answerTokens);
  }

  private JobActor(SimFleet fleet, int number, int items, int promptTokens, int answerTokens) {
    this.fleet = fleet;
    this.simulation = fleet.simulation();
    this.oracle = fleet.oracle();
    this.client = fleet.controllerClient(fleet.callers());
    this.partition = 1 + number % SimFleet.PARTITIONS;
    this.fileId = PartitionIds.create("file_", partition, number, simulation.random().nextLong());
    this.spec = newSpec(number, true);
    this.isLoad = true;
    Map<String, ObjectNode> bodies = new HashMap<>();
    for (int item = 0; item < items; item++) {
      String customId = "job-" + number + "-item-" + item;
      ObjectNode body =
          Prompts.chat(SimFleet.MODEL, 1_000 + number, customId, promptTokens, answerTokens, true);
      addItem(customId, body, bodies);
    }
    this.truth = oracle.addJob(new Oracle.JobTruth(spec.jobId(), bodies, true));
  }

  private JobSpec newSpec(int number, boolean repeatable) {
    return new JobSpec(
        PartitionIds.create("batch_", partition, number, simulation.random().nextLong()),
        SimFleet.TENANT,
        fleet.shape().batchService(),
        "/v1/chat/completions",
        fileId,
        repeatable,
        WINDOW_MS,
        new HashMap<>());
  }

  private void addItem(String customId, ObjectNode body, Map<String, ObjectNode> bodies) {
    bodies.put(customId, body);
    ObjectNode line = Json.object();
    line.put("custom_id", customId);
    line.put("method", "POST");
    line.put("url", "/v1/chat/completions");
    line.set("body", body);
    lines.add(Json.encode(line));
  }

  private Map<String, ObjectNode> newItems(int number, int items) {
    Map<String, ObjectNode> bodies = new HashMap<>();
    for (int item = 0; item < items; item++) {
      String customId = "job-" + number + "-item-" + item;
      ObjectNode body = SimPrompts.chat(customId, 3 + simulation.random().nextInt(8));
      addItem(customId, body, bodies);
      if (!spec.repeatable()) {
        oracle.registerUnrepeatable(EmulatedText.promptText(body));
      }
    }
    return bodies;
  }

  void run() {
    untilAnswered(
        new CreateFile(fileId, SimFleet.TENANT, "input.jsonl", "batch"),
        created ->
            untilAnswered(
                new AppendFileChunk(fileId, 0, lines),
                appended ->
                    untilAnswered(new SealFile(fileId, 1), closed -> submit(this::onAccepted))));
  }

  private void submit(Consumer<CommandResult> whenAnswered) {
    untilAnswered(new SubmitJob(spec), whenAnswered);
  }

  /** Sends a command again and again until it has an answer; all of them may be repeated. */
  private void untilAnswered(Command command, Consumer<CommandResult> whenAnswered) {
    repeat(() -> client.propose(partition, command, CALL_TIMEOUT_MS), whenAnswered);
  }

  private <T> void repeat(
      Supplier<CompletableFuture<Result<T, ControlError>>> call, Consumer<T> whenAnswered) {
    call.get()
        .thenAccept(
            result -> {
              if (result.isOk()) {
                whenAnswered.accept(result.value());
              } else {
                fleet.callers().later(RETRY_MS, () -> repeat(call, whenAnswered));
              }
            });
  }

  private void onAccepted(CommandResult answer) {
    if (!(answer instanceof JobAccepted)) {
      oracle.violation(Promise.EXACTLY_ONCE_AND_READABLE, spec.jobId() + " was answered " + answer);
      return;
    }
    truth.accepted = true;
    if (isLoad) {
      pollCounts();
      return;
    }
    if (simulation.chance(RESEND_CHANCE)) {
      fleet.callers().later(simulation.between(0, 4_000), () -> submit(this::checkResent));
    }
    if (simulation.chance(CANCEL_CHANCE)) {
      fleet.callers().later(simulation.between(0, 3_000), this::cancel);
    }
    poll();
  }

  private void checkResent(CommandResult answer) {
    if (answer instanceof Rejected) {
      oracle.violation(
          Promise.EXACTLY_ONCE_AND_READABLE, spec.jobId() + " resent was answered " + answer);
    }
  }

  private void cancel() {
    truth.cancelRequested = true;
    untilAnswered(
        new CancelJob(spec.jobId(), SimFleet.TENANT),
        answer -> {
          if (answer instanceof JobAccepted accepted) {
            oracle.onCancelled(truth, accepted.job().status());
          }
        });
  }

  /** Follows the counts only; reading all results again and again would take too long. */
  private void pollCounts() {
    readJob(
        view -> {
          succeeded = view.succeeded();
          if (!view.status().isTerminal()) {
            fleet.callers().later(POLL_MS, this::pollCounts);
          }
        });
  }

  int succeeded() {
    return succeeded;
  }

  private void poll() {
    readJob(
        view -> {
          // One read after the other: of two that overlap, the answer of the older may come last.
          readResults(
              () -> {
                if (!view.status().isTerminal()) {
                  fleet.callers().later(POLL_MS, this::poll);
                }
              });
        });
  }

  private void readJob(Consumer<JobView> whenRead) {
    untilRead(
        new ReadJob(spec.jobId(), SimFleet.TENANT),
        result -> {
          if (result instanceof JobResult found) {
            whenRead.accept(found.job());
          } else if (result instanceof NotFound) {
            oracle.violation(
                Promise.EXACTLY_ONCE_AND_READABLE, "the accepted job " + spec.jobId() + " is gone");
          }
        });
  }

  private void untilRead(Query query, Consumer<QueryResult> whenRead) {
    repeat(() -> client.query(partition, query, CALL_TIMEOUT_MS), whenRead);
  }

  private void readResults(Runnable whenRead) {
    readLines(
        false,
        succeeded ->
            readLines(
                true,
                failed -> {
                  List<byte[]> all = new ArrayList<>(succeeded);
                  all.addAll(failed);
                  oracle.onResults(truth, all);
                  whenRead.run();
                }));
  }

  private void readLines(boolean failures, Consumer<List<byte[]>> whenRead) {
    untilRead(
        new ReadResults(spec.jobId(), SimFleet.TENANT, failures, 0, MAX_BYTES),
        result -> {
          if (result instanceof LinesResult read) {
            whenRead.accept(read.lines());
          }
        });
  }

  /** Checks the job after all faults have ended. */
  void checkFinally() {
    if (!truth.accepted) {
      return;
    }
    readJob(
        view -> {
          if (!view.status().isTerminal()) {
            fleet.callers().later(POLL_MS, this::checkFinally);
          } else {
            readResults(() -> checkEnd(view));
          }
        });
  }

  private void checkEnd(JobView view) {
    boolean cancelled = truth.cancelledAtMs != Long.MAX_VALUE;
    if (cancelled && view.status() != JobStatus.CANCELLED && view.status() != JobStatus.COMPLETED) {
      oracle.violation(Promise.CANCELLED_JOB_STOPS, spec.jobId() + " is " + view.status());
    }
    if (!truth.cancelRequested && view.status() != JobStatus.COMPLETED) {
      oracle.violation(Promise.EXACTLY_ONCE_AND_READABLE, spec.jobId() + " is " + view.status());
    }
    if (view.status() == JobStatus.COMPLETED && truth.observed.size() != lines.size()) {
      oracle.violation(
          Promise.EXACTLY_ONCE_AND_READABLE,
          spec.jobId() + " has " + truth.observed.size() + " results of " + lines.size());
    }
    ended = true;
  }

  /** Whether the final check has run, or the job was never accepted. */
  boolean isSettled() {
    return ended || !truth.accepted;
  }

  int partition() {
    return partition;
  }

  String jobId() {
    return spec.jobId();
  }
}
