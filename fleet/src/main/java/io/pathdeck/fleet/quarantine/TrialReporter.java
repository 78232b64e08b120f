package io.pathdeck.fleet.quarantine;

import io.netty.channel.EventLoop;
import io.pathdeck.protocol.fleet.TrialState;
import io.pathdeck.protocol.message.TrialNotice;
import io.pathdeck.protocol.message.TrialReply;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * Asks the leading coordinator for trials and tells it how they went; confined to the event loop.
 *
 * <p>A request is not repeated here; an outcome is, until a leader has taken note of it.
 */
final class TrialReporter {
  private static final long ATTEMPT_TIMEOUT_MS = 300;
  private static final long RENEWAL_INTERVAL_MS = 1_000;

  private static final long RETRY_PAUSE_MS = 250;
  private static final long MAX_REPORT_MS = 20_000;
  private static final String NO_ENGINE = "";

  private final EventLoop eventLoop;
  private final LeaderCalls leader;

  TrialReporter(EventLoop eventLoop, LeaderCalls leader) {
    this.eventLoop = eventLoop;
    this.leader = leader;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Asks for a trial; {@code onReply} receives whether it is granted, within a short time. */
  void request(Trial trial, Consumer<Boolean> onReply) {
    send(trial, TrialState.REQUESTED, NO_ENGINE, 0, onReply);
  }

  /** Tells that a trial was sent, and again while it {@code awaitsVerdict} at a time. */
  void reportRunning(Trial trial, String engine, LongPredicate awaitsVerdict) {
    if (awaitsVerdict.test(nowMs())) {
      send(trial, TrialState.RUNNING, engine, 0, noted -> {});
      eventLoop.schedule(
          () -> reportRunning(trial, engine, awaitsVerdict),
          RENEWAL_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Tells the outcome of a trial, which was known at {@code atMs}. */
  void reportOutcome(Trial trial, TrialState outcome, String engine, long atMs) {
    long agoMs = nowMs() - atMs;
    send(trial, outcome, engine, agoMs, noted -> repeat(noted, trial, outcome, engine, atMs));
  }

  /** Tells that a trial was granted and cannot be sent any more. */
  void reportNotSent(Trial trial) {
    reportOutcome(trial, TrialState.NO_VERDICT, NO_ENGINE, nowMs());
  }

  private void repeat(boolean noted, Trial trial, TrialState outcome, String engine, long atMs) {
    if (!noted && nowMs() - atMs < MAX_REPORT_MS) {
      eventLoop.schedule(
          () -> reportOutcome(trial, outcome, engine, atMs), RETRY_PAUSE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void send(
      Trial trial, TrialState state, String engine, long agoMs, Consumer<Boolean> onReply) {
    TrialNotice notice =
        new TrialNotice(trial.id(), List.copyOf(trial.suspects()), state, engine, agoMs);
    leader
        .call(notice, ATTEMPT_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
        .thenAcceptAsync(
            result ->
                onReply.accept(
                    result.isOk() && result.value() instanceof TrialReply reply && reply.granted()),
            eventLoop);
  }
}
