package io.pathdeck.fleet.gateway;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.adapter.CallerProtocol;
import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.gateway.JobsGroupLocator.JobsGroup;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.BatchCommand;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.EndBatch;
import io.pathdeck.protocol.command.QuotaExceeded;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.query.BatchItemBody;
import io.pathdeck.protocol.query.BatchMissing;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadBatchItem;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Handles callers' batch job requests by forwarding them to the groups that store the jobs.
 *
 * <p>A job is reported as missing only after a linearizable operation. A submission with an unknown
 * outcome fails and is never refused, since a refusal promises that nothing runs.
 */
final class BatchCalls {
  private static final EventLog EVENTS = EventLog.of(BatchCalls.class);
  private static final long SUBMIT_TIMEOUT_MS = 2_500;
  private static final long QUERY_TIMEOUT_MS = 1_000;
  private static final long ATTEMPT_TIMEOUT_MS = 600;
  private static final long MAX_RESULTS_WAIT_MS = 1_000;
  private static final long QUOTA_RETRY_AFTER_MS = 1_000;
  private static final long RETRY_AFTER_MS = 300;
  private static final int MAX_PAGE_BYTES = 900_000;
  private static final int MAX_ITEMS = 200;
  private static final String JSON = "application/json";

  private final JobsGroupLocator groups;
  private final CallerProtocol protocol;

  BatchCalls(JobsGroupLocator groups, CallerProtocol protocol) {
    this.groups = groups;
    this.protocol = protocol;
  }

  void submit(HttpExchange exchange, CallerRequest.Routed request, RouteSpec route, String tenant) {
    Result<List<BatchItem>, String> items = protocol.readItems(exchange.body());
    if (!items.isOk() || items.value().isEmpty() || items.value().size() > MAX_ITEMS) {
      String reason = items.isOk() ? "a job has 1 to " + MAX_ITEMS + " items" : items.error();
      exchange.sendError(ApiError.invalid("invalid_job", reason));
      return;
    }
    Optional<JobsGroup> group = groups.groupOf(request.requestId());
    if (group.isEmpty()) {
      refuseUnknownGroups(exchange);
      return;
    }
    SubmitBatch command =
        new SubmitBatch(
            request.requestId(),
            tenant,
            route.name(),
            route.host(),
            items.value(),
            route.maxAttempts(),
            route.runTargetMs(),
            route.retainMs(),
            group.get().shareOf(route.maxQueuedTokens()));
    long startNs = System.nanoTime();
    propose(
        group.get(),
        command,
        result -> {
          log("submit", request.requestId(), result, startNs);
          if (!result.isOk()) {
            onSubmitFailed(exchange, request, result.error());
          } else if (result.value() instanceof BatchAccepted) {
            exchange.send(202, JSON, new byte[0]);
          } else if (result.value() instanceof QuotaExceeded exceeded) {
            String reason = exceeded.queuedTokens() + " tokens wait on the route";
            Refusals.overQuota(exchange, reason, QUOTA_RETRY_AFTER_MS);
          } else {
            Refusals.unavailable(exchange, String.valueOf(result.value()), RETRY_AFTER_MS);
          }
        });
  }

  private static void log(
      String call, String job, Result<CommandResult, GroupCallError> result, long startNs) {
    EVENTS.log(
        EventCode.BATCH_CALL,
        "call",
        call,
        "job",
        job,
        "outcome",
        result.isOk() ? result.value().getClass().getSimpleName() : result.error().reason(),
        "took_ms",
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
  }

  private void onSubmitFailed(
      HttpExchange exchange, CallerRequest.Routed request, GroupCallError error) {
    EVENTS.log(
        EventCode.REQUEST_FAILED,
        "request",
        request.requestId(),
        "reason",
        error.reason(),
        "may_have_run",
        error.mayHaveRun());
    if (error.mayHaveRun()) {
      exchange.sendError(ApiError.failed(504, "outcome_unknown", error.reason(), true));
    } else {
      Refusals.unavailable(exchange, error.reason(), RETRY_AFTER_MS);
    }
  }

  void end(HttpExchange exchange, CallerRequest.EndJob call, String tenant) {
    Optional<JobsGroup> group = groups.groupOf(call.jobId());
    if (group.isEmpty()) {
      refuseUnknownGroups(exchange);
      return;
    }
    long startNs = System.nanoTime();
    propose(
        group.get(),
        new EndBatch(call.jobId(), tenant),
        result -> {
          log("end", call.jobId(), result, startNs);
          if (!result.isOk()) {
            exchange.sendError(ApiError.failed(504, "outcome_unknown", "try again", true));
          } else if (result.value() instanceof Done) {
            exchange.send(200, JSON, new byte[0]);
          } else if (result.value() instanceof Rejected) {
            exchange.sendError(ApiError.notFound("no_such_job", "there is no such job"));
          } else {
            Refusals.unavailable(exchange, String.valueOf(result.value()), RETRY_AFTER_MS);
          }
        });
  }

  void readResults(HttpExchange exchange, CallerRequest.ReadResults call, String tenant) {
    long waitMs = Math.max(0, Math.min(MAX_RESULTS_WAIT_MS, call.waitMs()));
    query(
        exchange,
        call.jobId(),
        new ReadBatchResults(call.jobId(), tenant, call.from(), MAX_PAGE_BYTES, waitMs),
        waitMs,
        result -> {
          if (result.isOk() && result.value() instanceof BatchResults results) {
            exchange.sendJson(200, protocol.writeResults(results));
          } else {
            sendNotFoundOrUnavailable(exchange, result);
          }
        });
  }

  void readItem(HttpExchange exchange, CallerRequest.ReadItem call, String tenant) {
    query(
        exchange,
        call.jobId(),
        new ReadBatchItem(call.jobId(), tenant, call.itemId()),
        0,
        result -> {
          if (result.isOk() && result.value() instanceof BatchItemBody item) {
            exchange.send(200, "application/octet-stream", item.body());
          } else {
            sendNotFoundOrUnavailable(exchange, result);
          }
        });
  }

  private static void sendNotFoundOrUnavailable(
      HttpExchange exchange, Result<QueryResult, GroupCallError> result) {
    if (result.isOk() && result.value() instanceof BatchMissing) {
      exchange.sendError(ApiError.notFound("not_found", "there is no such job or item"));
    } else {
      Refusals.unavailable(exchange, "the jobs cannot be read now", RETRY_AFTER_MS);
    }
  }

  private static void refuseUnknownGroups(HttpExchange exchange) {
    Refusals.unavailable(exchange, "the groups of batch jobs are not known yet", RETRY_AFTER_MS);
  }

  private static void propose(
      JobsGroup group,
      BatchCommand command,
      Consumer<Result<CommandResult, GroupCallError>> callback) {
    Message message = new ProposeRequest(group.group(), "", 0, command);
    group
        .client()
        .call(message, SUBMIT_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
        .thenAccept(
            result -> callback.accept(result.map(reply -> ((ProposeReply) reply).result())));
  }

  private void query(
      HttpExchange exchange,
      String jobId,
      Query query,
      long waitMs,
      Consumer<Result<QueryResult, GroupCallError>> callback) {
    Optional<JobsGroup> group = groups.groupOf(jobId);
    if (group.isEmpty()) {
      refuseUnknownGroups(exchange);
      return;
    }
    Message message = new QueryRequest(group.get().group(), query);
    group
        .get()
        .client()
        .call(message, QUERY_TIMEOUT_MS + waitMs, ATTEMPT_TIMEOUT_MS + waitMs)
        .thenAccept(result -> callback.accept(result.map(reply -> ((QueryReply) reply).result())));
  }
}
