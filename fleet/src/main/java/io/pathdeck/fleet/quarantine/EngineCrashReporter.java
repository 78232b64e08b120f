package io.pathdeck.fleet.quarantine;

import io.netty.channel.EventLoop;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.message.EngineEndNoted;
import io.pathdeck.protocol.message.EngineEndNotice;
import io.pathdeck.protocol.message.Message;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tells the leading coordinator under which requests engines ended; confined to the event loop.
 *
 * <p>A notice is sent until a leader has taken it. What leaders collect is not replicated, so a new
 * leader is told all of the last while again.
 */
public final class EngineCrashReporter {
  /** Gathers the requests that one end cuts: they are noticed within a millisecond or two. */
  private static final long BATCH_DELAY_MS = 10;

  private static final long RETRY_PAUSE_MS = 200;
  private static final long CALL_TIMEOUT_MS = 900;
  private static final long ATTEMPT_TIMEOUT_MS = 300;

  /** The newest ends, which a new leader is told again; about 200 bytes each. */
  private static final int MAX_RECENT_CRASHES = 512;

  private final EventLoop eventLoop;
  private final GroupClient coordinators;
  private final Runnable onAccepted;
  private final Deque<EngineEnd> recentCrashes = new ArrayDeque<>();
  private final Set<EngineEnd> unreportedCrashes = new LinkedHashSet<>();
  private final Set<RequestFingerprint> served = new LinkedHashSet<>();
  private boolean sending;

  /**
   * Creates a reporter.
   *
   * @param onAccepted runs when a leader has taken a notice, to ask for what follows from it
   */
  public EngineCrashReporter(EventLoop eventLoop, GroupClient coordinators, Runnable onAccepted) {
    this.eventLoop = eventLoop;
    this.coordinators = coordinators;
    this.onAccepted = onAccepted;
  }

  void reportCrashes(List<EngineEnd> ends) {
    unreportedCrashes.addAll(ends);
    recentCrashes.addAll(ends);
    while (recentCrashes.size() > MAX_RECENT_CRASHES) {
      unreportedCrashes.remove(recentCrashes.removeFirst());
    }
    sendAfter(BATCH_DELAY_MS);
  }

  void reportServed(RequestFingerprint request) {
    recentCrashes.removeIf(end -> end.request().equals(request));
    unreportedCrashes.removeIf(end -> end.request().equals(request));
    served.add(request);
    sendAfter(BATCH_DELAY_MS);
  }

  /** Another coordinator leads, which knows nothing of earlier ends. */
  public void onNewLeader() {
    unreportedCrashes.addAll(recentCrashes);
    if (!unreportedCrashes.isEmpty()) {
      sendAfter(BATCH_DELAY_MS);
    }
  }

  private void sendAfter(long pauseMs) {
    if (!sending) {
      sending = true;
      eventLoop.schedule(this::send, pauseMs, TimeUnit.MILLISECONDS);
    }
  }

  private void send() {
    EngineEndNotice notice =
        new EngineEndNotice(List.copyOf(unreportedCrashes), List.copyOf(served));
    coordinators
        .call(notice, CALL_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
        .thenAcceptAsync(result -> onAnswer(notice, result), eventLoop);
  }

  private void onAnswer(EngineEndNotice notice, Result<Message, GroupCallError> result) {
    sending = false;
    boolean taken = result.isOk() && result.value() instanceof EngineEndNoted;
    if (taken) {
      unreportedCrashes.removeAll(new ArrayList<>(notice.ends()));
      served.removeAll(new ArrayList<>(notice.served()));
      onAccepted.run();
    }
    if (!unreportedCrashes.isEmpty() || !served.isEmpty()) {
      sendAfter(taken ? BATCH_DELAY_MS : RETRY_PAUSE_MS);
    }
  }
}
