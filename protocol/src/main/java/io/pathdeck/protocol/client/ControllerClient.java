package io.pathdeck.protocol.client;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
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
import io.pathdeck.protocol.transport.PeerClient;
import io.pathdeck.protocol.transport.TransportError;
import io.pathdeck.protocol.transport.TransportTls;
import java.util.ArrayList;
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
public final class ControllerClient implements AutoCloseable {
  private static final long ATTEMPT_TIMEOUT_MS = 2_000;
  private static final long RETRY_DELAY_MS = 50;

  private final List<PeerClient> controllers = new ArrayList<>();
  private final EventLoopGroup eventLoops;
  private final String clientId;
  private final AtomicLong nextRequestId = new AtomicLong(System.currentTimeMillis() << 20);
  private final Map<Integer, Integer> leaders = new ConcurrentHashMap<>();

  /** Creates a client; {@code addresses} lists the controllers in the order of their ids from 1. */
  public ControllerClient(
      List<HostPort> addresses, EventLoopGroup eventLoops, TransportTls tls, String clientId) {
    this.eventLoops = eventLoops;
    this.clientId = clientId;
    addresses.forEach(address -> controllers.add(new PeerClient(address, eventLoops, tls)));
  }

  /** Replicates and applies a command. */
  public CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, Command command, long timeoutMs) {
    return propose(group, clientId, nextRequestId.incrementAndGet(), command, timeoutMs);
  }

  /** Replicates and applies a command under an identity chosen by the caller. */
  public CompletableFuture<Result<CommandResult, ControlError>> propose(
      int group, String client, long requestId, Command command, long timeoutMs) {
    Message request = new ProposeRequest(group, client, requestId, command);
    return call(group, request, timeoutMs)
        .thenApply(result -> result.map(reply -> ((ProposeReply) reply).result()));
  }

  /** Reads linearizably. */
  public CompletableFuture<Result<QueryResult, ControlError>> query(
      int group, Query query, long timeoutMs) {
    return call(group, new QueryRequest(group, query), timeoutMs)
        .thenApply(result -> result.map(reply -> ((QueryReply) reply).result()));
  }

  /** Reports the configuration in use and asks for its lease. */
  public CompletableFuture<Result<ConfigurationUpdate, ControlError>> heartbeat(
      ConfigurationHeartbeat heartbeat, long timeoutMs) {
    return call(0, heartbeat, timeoutMs)
        .thenApply(result -> result.map(reply -> (ConfigurationUpdate) reply));
  }

  private CompletableFuture<Result<Message, ControlError>> call(
      int group, Message request, long timeoutMs) {
    CompletableFuture<Result<Message, ControlError>> outcome = new CompletableFuture<>();
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    new Call(group, request, deadlineNs, outcome).attempt();
    return outcome;
  }

  @Override
  public void close() {
    controllers.forEach(PeerClient::close);
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
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
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
      eventLoops.next().schedule(this::attempt, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }
}
