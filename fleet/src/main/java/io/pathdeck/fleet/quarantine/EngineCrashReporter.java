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
 * <p>A report is retried until a leader accepts it. Leaders do not replicate reported crashes, so
 * all recent crashes are sent again to a new leader.
 */
public final class EngineCrashReporter {
  /** Lets one report cover all requests that a crash interrupted: they fail within milliseconds. */
  private static final long BATCH_DELAY_MS = 10;

  private static final long RETRY_PAUSE_MS = 200;
  private static final long CALL_TIMEOUT_MS = 900;
  private static final long ATTEMPT_TIMEOUT_MS = 300;

  /** Bounds the memory for crashes to send again to a new leader, at about 200 bytes each. */
  private static final int MAX_RECENT_CRASHES = 512;

  private final EventLoop eventLoop;
  private final GroupClient coordinatorClient;
  private final Runnable onAccepted;
  private final Deque<EngineEnd> recentCrashes = new ArrayDeque<>();
  private final Set<EngineEnd> unreportedCrashes = new LinkedHashSet<>();
  private final Set<RequestFingerprint> servedRequests = new LinkedHashSet<>();
  private boolean sending;

  /**
   * Creates a reporter.
   *
   * @param eventLoop runs the methods, timers and {@code onAccepted}
   * @param coordinatorClient sends messages to the leading coordinator
   * @param onAccepted run after the leader accepted a report, for example to fetch the updated
   *     quarantine list
   */
  public EngineCrashReporter(
      EventLoop eventLoop, GroupClient coordinatorClient, Runnable onAccepted) {
    this.eventLoop = eventLoop;
    this.coordinatorClient = coordinatorClient;
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
    servedRequests.add(request);
    sendAfter(BATCH_DELAY_MS);
  }

  /** Sends the recent crashes again, because a new leader does not know them. */
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
        new EngineEndNotice(List.copyOf(unreportedCrashes), List.copyOf(servedRequests));
    coordinatorClient
        .call(notice, CALL_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
        .thenAcceptAsync(result -> onReply(notice, result), eventLoop);
  }

  private void onReply(EngineEndNotice notice, Result<Message, GroupCallError> result) {
    sending = false;
    boolean accepted = result.isOk() && result.value() instanceof EngineEndNoted;
    if (accepted) {
      unreportedCrashes.removeAll(new ArrayList<>(notice.ends()));
      servedRequests.removeAll(new ArrayList<>(notice.served()));
      onAccepted.run();
    }
    if (!unreportedCrashes.isEmpty() || !servedRequests.isEmpty()) {
      sendAfter(accepted ? BATCH_DELAY_MS : RETRY_PAUSE_MS);
    }
  }
}
