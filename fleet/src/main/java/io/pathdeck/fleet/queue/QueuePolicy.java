package io.pathdeck.fleet.queue;

import java.util.List;

/**
 * Decides whether to send a request to an engine, to hold it or to reject it. Has no state; times
 * are in milliseconds.
 *
 * <p>The policy handles load peaks in which all slots are taken for a few hundred milliseconds.
 * While the gateway holds a request, a more urgent one can overtake it and its caller can cancel
 * it; neither is possible in an engine's queue. Requests are held only if all engines are known to
 * be full.
 */
public final class QueuePolicy {
  /**
   * Fraction of its spare time for which a request is held. The rest covers a wait in the engine's
   * queue, so that the response is on time even if no slot becomes free during the hold.
   */
  private static final double HELD_SHARE = 0.5;

  private QueuePolicy() {}

  /**
   * The request to decide on.
   *
   * @param dueMs when its response should begin
   * @param deadlineMs when its caller gives up
   * @param holdUntilMs end of its hold; {@link #NOT_HELD} if none
   * @param mayBeRejected whether it has certainly not run and its caller has received no part of a
   *     response
   */
  public record Request(long dueMs, long deadlineMs, long holdUntilMs, boolean mayBeRejected) {
    /** Value of {@code holdUntilMs} before the first hold. */
    public static final long NOT_HELD = -1;
  }

  /** Decides on a request that may be sent to any of {@code engines}. */
  public static QueueDecision decide(
      Request request, List<EngineCapacity> engines, ServiceTimes times, long nowMs) {
    boolean allFull = !engines.isEmpty() && engines.stream().allMatch(EngineCapacity::isKnownFull);
    if (!allFull) {
      return new QueueDecision.Send();
    }
    double waitMs = expectedWaitMs(engines, times);
    if (request.mayBeRejected() && nowMs + waitMs > request.deadlineMs()) {
      return new QueueDecision.Reject(Math.round(waitMs));
    }
    long untilMs = holdUntilMs(request, times, nowMs);
    return nowMs < untilMs ? new QueueDecision.Hold(untilMs) : new QueueDecision.Send();
  }

  private static long holdUntilMs(Request request, ServiceTimes times, long nowMs) {
    if (request.holdUntilMs() != Request.NOT_HELD) {
      return request.holdUntilMs();
    }
    double spareMs = request.dueMs() - nowMs - times.firstByteMs();
    return nowMs + Math.round(Math.max(0, spareMs) * HELD_SHARE);
  }

  /** Returns the shortest expected wait at any of the engines; 0 if there are none. */
  public static double expectedWaitMs(List<EngineCapacity> engines, ServiceTimes times) {
    return engines.stream()
        .mapToDouble(engine -> engine.expectedWaitMs(times.slotTimeMs()))
        .min()
        .orElse(0);
  }
}
