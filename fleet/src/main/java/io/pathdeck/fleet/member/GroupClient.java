package io.pathdeck.fleet.member;

import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.GroupCallError.Cause;
import io.pathdeck.protocol.client.RetryTimer;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.NotLeader;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.transport.PeerClient;
import io.pathdeck.protocol.transport.TransportError;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Sends messages to the current leader of one group.
 *
 * <p>A message is retried until its deadline, one attempt at a time, so the commands of the group
 * must be idempotent. Thread-safe.
 */
public final class GroupClient {
  private static final long RETRY_DELAY_MS = 60;

  private final PeerPool pool;
  private final RetryTimer timer;
  private final Supplier<List<String>> candidates;
  private volatile String leaderAddress = "";
  private final CandidateOrder order;

  /**
   * Creates a client that tries the first candidate first.
   *
   * @param pool the connections to the candidates
   * @param timer schedules retries
   * @param candidates addresses of processes that may know the leader
   */
  public GroupClient(PeerPool pool, RetryTimer timer, Supplier<List<String>> candidates) {
    this(pool, timer, candidates, CandidateOrder.fromFirst());
  }

  /** Creates a client that tries candidates in {@code order} while it knows no leader. */
  GroupClient(
      PeerPool pool, RetryTimer timer, Supplier<List<String>> candidates, CandidateOrder order) {
    this.pool = pool;
    this.timer = timer;
    this.candidates = candidates;
    this.order = order;
  }

  /** Sends {@code message}; the future completes at most slightly later than {@code timeoutMs}. */
  public CompletableFuture<Result<Message, GroupCallError>> call(
      Message message, long timeoutMs, long attemptTimeoutMs) {
    return call(message, timeoutMs, attemptTimeoutMs, reply -> false);
  }

  /**
   * Sends {@code message} as {@link #call(Message, long, long)} does. A refusal that follows an
   * attempt of unknown outcome is an error: the earlier message may still be on its way to the
   * leader, over another connection, and be accepted.
   */
  public CompletableFuture<Result<Message, GroupCallError>> call(
      Message message, long timeoutMs, long attemptTimeoutMs, Predicate<Message> isRefusal) {
    CompletableFuture<Result<Message, GroupCallError>> outcome = new CompletableFuture<>();
    long deadlineNs = timer.nowNs() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    new Call(message, deadlineNs, attemptTimeoutMs, isRefusal, outcome).attempt();
    return outcome;
  }

  /** Returns the last known address of the leader; empty if unknown. */
  public String leaderAddress() {
    return leaderAddress;
  }

  /**
   * Forgets the leader, so that the next call tries another candidate; used when no leader
   * answered.
   */
  void tryNextCandidate() {
    leaderAddress = "";
    order.advance();
  }

  private String selectTarget() {
    String leader = leaderAddress;
    if (!leader.isEmpty()) {
      return leader;
    }
    return order.current(List.copyOf(candidates.get()));
  }

  private void onTargetFailed(String target) {
    if (target.equals(leaderAddress)) {
      leaderAddress = "";
    }
    order.advance();
  }

  /** A call with its attempts, which never overlap. */
  private final class Call {
    private final Message message;
    private final long deadlineNs;
    private final long attemptTimeoutMs;
    private final Predicate<Message> isRefusal;
    private final CompletableFuture<Result<Message, GroupCallError>> outcome;
    private boolean mayHaveRun;
    private String lastFailureReason = "no member is known";
    private Cause lastCause = Cause.NO_MEMBER_KNOWN;
    private final Set<String> askedMembers = new LinkedHashSet<>();

    Call(
        Message message,
        long deadlineNs,
        long attemptTimeoutMs,
        Predicate<Message> isRefusal,
        CompletableFuture<Result<Message, GroupCallError>> outcome) {
      this.message = message;
      this.deadlineNs = deadlineNs;
      this.attemptTimeoutMs = attemptTimeoutMs;
      this.isRefusal = isRefusal;
      this.outcome = outcome;
    }

    void attempt() {
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - timer.nowNs());
      if (remainingMs <= 0) {
        fail(lastFailureReason);
        return;
      }
      String target = selectTarget();
      Optional<PeerClient> client = pool.client(target);
      if (client.isEmpty()) {
        onTargetFailed(target);
        retry();
        return;
      }
      askedMembers.add(target);
      client
          .get()
          .request(message, Math.min(remainingMs, attemptTimeoutMs))
          .thenAccept(result -> onResult(target, result));
    }

    private void fail(String reason) {
      outcome.complete(
          Result.err(new GroupCallError(reason, mayHaveRun, lastCause, List.copyOf(askedMembers))));
    }

    private void onResult(String target, Result<Message, TransportError> result) {
      if (!result.isOk()) {
        onFailure(Cause.UNREACHABLE, target + ": " + result.error());
        mayHaveRun |= result.error().mayHaveRun();
        onTargetFailed(target);
        retry();
        return;
      }
      Message reply = result.value();
      if (reply instanceof NotLeader notLeader) {
        onFailure(Cause.NO_LEADER, target + ": not the leader");
        followRedirect(target, notLeader);
      } else if (reply instanceof Unavailable unavailable) {
        onFailure(Cause.LEADER_UNAVAILABLE, target + ": " + unavailable.reason());
        mayHaveRun |= unavailable.mayHaveRun();
        retry();
      } else {
        leaderAddress = target;
        if (mayHaveRun && isRefusal.test(reply)) {
          fail(target + ": refused after an attempt of unknown outcome");
        } else {
          outcome.complete(Result.ok(reply));
        }
      }
    }

    private void onFailure(Cause cause, String reason) {
      lastCause = cause;
      lastFailureReason = reason;
    }

    private void followRedirect(String target, NotLeader notLeader) {
      String leader = notLeader.leaderAddress();
      if (leader.isEmpty() || leader.equals(target)) {
        onTargetFailed(target);
        retry();
        return;
      }
      leaderAddress = leader;
      timer.schedule(this::attempt, 1);
    }

    private void retry() {
      timer.schedule(this::attempt, RETRY_DELAY_MS);
    }
  }
}
