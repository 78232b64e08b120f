package io.pathdeck.fleet.gateway;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.adapter.CallerProtocol;
import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.gateway.JobsGroupLocator.JobsGroup;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.BatchCommand;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.EndBatch;
import io.pathdeck.protocol.command.QuotaExceeded;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
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
import java.util.function.Predicate;

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

  /** Memory is freed as results grow old, which takes minutes. */
  private static final long STORES_FULL_RETRY_AFTER_MS = 5_000;

  private static final int MAX_PAGE_BYTES = 900_000;
  private static final int MIN_PAGE_BYTES = 1;
  private static final long NO_REGION_RETRY_AFTER_MS = 1_000;
  private static final int MAX_ITEMS = 200;
  private static final String JSON = "application/json";

  private final JobsGroupLocator groups;
  private final CallerProtocol protocol;
  private final JobReadFailures readFailures;

  BatchCalls(JobsGroupLocator groups, CallerProtocol protocol, JobReadFailures readFailures) {
    this.groups = groups;
    this.protocol = protocol;
    this.readFailures = readFailures;
  }

  /**
   * Stores a job in a group whose stores all stand in the allowed regions.
   *
   * @param regionsChanged whether the allowed regions have changed so recently that another group
   *     may have accepted the job before
   */
  void submit(
      HttpExchange exchange,
      CallerRequest.Routed request,
      RouteSpec route,
      String tenant,
      AllowedRegions allowedRegions,
      boolean regionsChanged) {
    Result<List<BatchItem>, String> items = protocol.readItems(exchange.body());
    if (!items.isOk() || items.value().isEmpty() || items.value().size() > MAX_ITEMS) {
      String reason = items.isOk() ? "a job has 1 to " + MAX_ITEMS + " items" : items.error();
      exchange.sendError(ApiError.invalid("invalid_job", reason));
      return;
    }
    if (!groups.areGroupsKnown()) {
      refuseUnknownGroups(exchange);
      return;
    }
    Optional<JobsGroup> group = groups.groupFor(request.requestId(), allowedRegions);
    if (group.isEmpty()) {
      String reason = "no group of stores lies within the allowed regions";
      Refusals.unavailable(exchange, reason, NO_REGION_RETRY_AFTER_MS);
      return;
    }
    SubmitBatch command = submission(request, route, tenant, items.value(), group.get());
    if (regionsChanged) {
      submitUnlessHeld(exchange, request, group.get(), command);
    } else {
      propose(exchange, request, group.get(), command);
    }
  }

  private static SubmitBatch submission(
      CallerRequest.Routed request,
      RouteSpec route,
      String tenant,
      List<BatchItem> items,
      JobsGroup group) {
    return new SubmitBatch(
        request.requestId(),
        tenant,
        route.name(),
        route.host(),
        items,
        route.maxAttempts(),
        route.runTargetMs(),
        route.retainMs(),
        group.shareOf(route.maxQueuedTokens()));
  }

  /** Accepts the job if a group holds it already, else proposes it. */
  private void submitUnlessHeld(
      HttpExchange exchange, CallerRequest.Routed request, JobsGroup group, SubmitBatch command) {
    queryInTurn(
        groups.groupsThatMayHold(request.requestId()),
        new ReadBatchResults(request.requestId(), command.tenant(), 0, MIN_PAGE_BYTES, 0),
        0,
        result -> {
          if (!result.isOk()) {
            Refusals.unavailable(exchange, result.error().reason(), RETRY_AFTER_MS);
          } else if (result.value() instanceof BatchResults) {
            exchange.send(202, JSON, new byte[0]);
          } else {
            propose(exchange, request, group, command);
          }
        });
  }

  private void propose(
      HttpExchange exchange, CallerRequest.Routed request, JobsGroup group, SubmitBatch command) {
    long startNs = System.nanoTime();
    propose(
        group,
        command,
        BatchCalls::isRefusal,
        result -> {
          log("submit", request.requestId(), group.group(), result, startNs);
          if (!result.isOk()) {
            onSubmitFailed(exchange, request, result.error());
          } else if (result.value() instanceof BatchAccepted) {
            exchange.send(202, JSON, new byte[0]);
          } else if (result.value() instanceof QuotaExceeded exceeded) {
            String reason = exceeded.queuedTokens() + " tokens wait on the route";
            Refusals.overQuota(exchange, reason, QUOTA_RETRY_AFTER_MS);
          } else if (result.value() instanceof Rejected rejected) {
            boolean areStoresFull = rejected.code() == RejectionCode.TOO_LARGE;
            long retryAfterMs = areStoresFull ? STORES_FULL_RETRY_AFTER_MS : RETRY_AFTER_MS;
            Refusals.unavailable(exchange, rejected.message(), retryAfterMs);
          } else {
            Refusals.unavailable(exchange, String.valueOf(result.value()), RETRY_AFTER_MS);
          }
        });
  }

  private static void log(
      String call,
      String job,
      int group,
      Result<CommandResult, GroupCallError> result,
      long startNs) {
    EVENTS.log(
        EventCode.BATCH_CALL,
        "call",
        call,
        "job",
        job,
        "group",
        group,
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
    List<JobsGroup> candidates = groups.groupsThatMayHold(call.jobId());
    if (candidates.isEmpty()) {
      refuseUnknownGroups(exchange);
      return;
    }
    long startNs = System.nanoTime();
    proposeInTurn(
        candidates,
        new EndBatch(call.jobId(), tenant),
        result -> {
          log("end", call.jobId(), candidates.get(0).group(), result, startNs);
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

  /** Proposes to each group until one does not reject the command. */
  private static void proposeInTurn(
      List<JobsGroup> candidates,
      BatchCommand command,
      Consumer<Result<CommandResult, GroupCallError>> callback) {
    List<JobsGroup> others = candidates.subList(1, candidates.size());
    propose(
        candidates.get(0),
        command,
        reply -> false,
        result -> {
          boolean isRejected = result.isOk() && result.value() instanceof Rejected;
          if (isRejected && !others.isEmpty()) {
            proposeInTurn(others, command, callback);
          } else {
            callback.accept(result);
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

  private static boolean isRefusal(Message reply) {
    return reply instanceof ProposeReply proposed && !(proposed.result() instanceof BatchAccepted);
  }

  private static void propose(
      JobsGroup group,
      BatchCommand command,
      Predicate<Message> isRefusal,
      Consumer<Result<CommandResult, GroupCallError>> callback) {
    Message message = new ProposeRequest(group.group(), "", 0, command);
    group
        .client()
        .call(message, SUBMIT_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS, isRefusal)
        .thenAccept(
            result -> callback.accept(result.map(reply -> ((ProposeReply) reply).result())));
  }

  private void query(
      HttpExchange exchange,
      String jobId,
      Query query,
      long waitMs,
      Consumer<Result<QueryResult, GroupCallError>> callback) {
    long startNs = System.nanoTime();
    List<JobsGroup> candidates = groups.groupsThatMayHold(jobId);
    if (candidates.isEmpty()) {
      readFailures.onGroupsUnknown(jobId, startNs);
      refuseUnknownGroups(exchange);
      return;
    }
    queryInTurn(
        candidates,
        query,
        waitMs,
        result -> {
          readFailures.onResult(jobId, candidates, result, startNs);
          callback.accept(result);
        });
  }

  /** Queries each group until one does not report the job as missing. */
  private static void queryInTurn(
      List<JobsGroup> candidates,
      Query query,
      long waitMs,
      Consumer<Result<QueryResult, GroupCallError>> callback) {
    List<JobsGroup> others = candidates.subList(1, candidates.size());
    JobsGroup group = candidates.get(0);
    group
        .client()
        .call(
            new QueryRequest(group.group(), query),
            QUERY_TIMEOUT_MS + waitMs,
            ATTEMPT_TIMEOUT_MS + waitMs)
        .thenAccept(
            reply -> {
              Result<QueryResult, GroupCallError> result =
                  reply.map(message -> ((QueryReply) message).result());
              boolean isMissing = result.isOk() && result.value() instanceof BatchMissing;
              if (isMissing && !others.isEmpty()) {
                queryInTurn(others, query, waitMs, callback);
              } else {
                callback.accept(result);
              }
            });
  }
}
