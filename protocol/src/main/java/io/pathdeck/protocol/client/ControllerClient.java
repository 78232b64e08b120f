package io.pathdeck.protocol.client;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.ConfigurationUpdate;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.NotLeader;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.transport.TransportError;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends commands and reads to the leader of a group, whichever controller that is.
 *
 * <p>A command is resent under the same request id until its deadline: state machines recognise
 * resends, so that a command takes effect once.
 */
public final class ControllerClient implements ControlPlane {
  private static final long ATTEMPT_TIMEOUT_MS = 2_000;
  private static final long RETRY_DELAY_MS = 50;

  private final List<ControllerEndpoint> controllers;
  private final RetryTimer timer;
  private final String clientId;
  private final AtomicLong nextRequestId;
  private final Map<Integer, Integer> leaders = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param controllers the controllers in the order of their ids from 1
   * @param firstRequestId larger than any request id that {@code clientId} has used before
   */
  public ControllerClient(
      List<? extends ControllerEndpoint> controllers,
      RetryTimer timer,
      String clientId,
      long firstRequestId) {
    this.controllers = List.copyOf(controllers);
    this.timer = timer;
    this.clientId = clientId;
    this.nextRequestId = new AtomicLong(firstRequestId);
  }

  @Override
  public CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, Command command, long timeoutMs) {
    return propose(group, clientId, nextRequestId.incrementAndGet(), command, timeoutMs);
  }

  @Override
  public CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, String client, long requestId, Command command, long timeoutMs) {
    Message request = new ProposeRequest(group, client, requestId, command);
    return call(group, request, timeoutMs)
        .thenApply(result -> result.map(reply -> ((ProposeReply) reply).result()));
  }

  @Override
  public CompletableFuture<Result<QueryResult, ControlError>> query(
      int group, Query query, long timeoutMs) {
    return call(group, new QueryRequest(group, query), timeoutMs)
        .thenApply(result -> result.map(reply -> ((QueryReply) reply).result()));
  }

  @Override
  public CompletableFuture<Result<ConfigurationUpdate, ControlError>> heartbeat(
      ConfigurationHeartbeat heartbeat, long timeoutMs) {
    return call(0, heartbeat, timeoutMs)
        .thenApply(result -> result.map(reply -> (ConfigurationUpdate) reply));
  }

  private CompletableFuture<Result<Message, ControlError>> call(
      int group, Message request, long timeoutMs) {
    CompletableFuture<Result<Message, ControlError>> outcome = new CompletableFuture<>();
    long deadlineNs = timer.nowNs() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    new Call(group, request, deadlineNs, outcome).attempt();
    return outcome;
  }

  /** One call and its attempts, which follow each other and never overlap. */
  private final class Call {
    private final int group;
    private final Message request;
    private final long deadlineNs;
    private final CompletableFuture<Result<Message, ControlError>> outcome;
    private boolean mayHaveRun;

    Call(
        int group,
        Message request,
        long deadlineNs,
        CompletableFuture<Result<Message, ControlError>> outcome) {
      this.group = group;
      this.request = request;
      this.deadlineNs = deadlineNs;
      this.outcome = outcome;
    }

    void attempt() {
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - timer.nowNs());
      if (remainingMs <= 0) {
        outcome.complete(Result.err(new ControlError("no controller answered", mayHaveRun)));
        return;
      }
      int target = leaders.getOrDefault(group, 0);
      controllers
          .get(target)
          .request(request, Math.min(remainingMs, ATTEMPT_TIMEOUT_MS))
          .thenAccept(result -> onResult(target, result));
    }

    private void onResult(int target, Result<Message, TransportError> result) {
      if (!result.isOk()) {
        mayHaveRun |= result.error().mayHaveRun();
        retryAt(next(target));
        return;
      }
      Message reply = result.value();
      if (reply instanceof NotLeader notLeader) {
        int leader = notLeader.leaderId() - 1;
        boolean known = leader >= 0 && leader < controllers.size() && leader != target;
        if (known) {
          leaders.put(group, leader);
          attempt();
        } else {
          retryAt(next(target));
        }
      } else if (reply instanceof Unavailable unavailable) {
        mayHaveRun |= unavailable.mayHaveRun();
        retryAt(target);
      } else {
        outcome.complete(Result.ok(reply));
      }
    }

    private int next(int target) {
      return (target + 1) % controllers.size();
    }

    private void retryAt(int target) {
      leaders.put(group, target);
      timer.schedule(this::attempt, RETRY_DELAY_MS);
    }
  }
}
