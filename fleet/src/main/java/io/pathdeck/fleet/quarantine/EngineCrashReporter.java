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
 * Reports to the leading coordinator which requests were in progress when engines crashed; confined
 * to the event loop.
 *
 * <p>A notice is sent until a leader accepts it. Leaders do not replicate what they collect, so a
 * new leader is sent all recent crashes again.
 */
public final class EngineCrashReporter {
  /**
   * Batches the requests that one crash interrupts: they are noticed within a millisecond or two.
   */
  private static final long BATCH_DELAY_MS = 10;

  private static final long RETRY_PAUSE_MS = 200;
  private static final long CALL_TIMEOUT_MS = 900;
  private static final long ATTEMPT_TIMEOUT_MS = 300;

  /** Bounds the crashes that are sent again to a new leader; about 200 bytes each. */
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
   * @param onAccepted runs when a leader has accepted a notice, to fetch what follows from it
   */
  public EngineCrashReporter(EventLoop eventLoop, GroupClient coordinators, Runnable onAccepted) {
    this.eventLoop = eventLoop;
    this.coordinators = coordinators;
    this.onAccepted = onAccepted;
  }

  void reportCrashes(List<EngineEnd> crashes) {
    unreportedCrashes.addAll(crashes);
    recentCrashes.addAll(crashes);
    while (recentCrashes.size() > MAX_RECENT_CRASHES) {
      unreportedCrashes.remove(recentCrashes.removeFirst());
    }
    sendAfter(BATCH_DELAY_MS);
  }

  void reportServed(RequestFingerprint request) {
    recentCrashes.removeIf(crash -> crash.request().equals(request));
    unreportedCrashes.removeIf(crash -> crash.request().equals(request));
    served.add(request);
    sendAfter(BATCH_DELAY_MS);
  }

  /** Another coordinator leads, which knows nothing of earlier crashes. */
  public void onNewLeader() {
    unreportedCrashes.addAll(recentCrashes);
    if (!unreportedCrashes.isEmpty()) {
      sendAfter(BATCH_DELAY_MS);
    }
  }

  private void sendAfter(long delayMs) {
    if (!sending) {
      sending = true;
      eventLoop.schedule(this::send, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void send() {
    EngineEndNotice notice =
        new EngineEndNotice(List.copyOf(unreportedCrashes), List.copyOf(served));
    coordinators
        .call(notice, CALL_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
        .thenAcceptAsync(result -> onReply(notice, result), eventLoop);
  }

  private void onReply(EngineEndNotice notice, Result<Message, GroupCallError> result) {
    sending = false;
    boolean accepted = result.isOk() && result.value() instanceof EngineEndNoted;
    if (accepted) {
      unreportedCrashes.removeAll(new ArrayList<>(notice.ends()));
      served.removeAll(new ArrayList<>(notice.served()));
      onAccepted.run();
    }
    if (!unreportedCrashes.isEmpty() || !served.isEmpty()) {
      sendAfter(accepted ? BATCH_DELAY_MS : RETRY_PAUSE_MS);
    }
  }
}
