package io.pathdeck.fleet.queue;

import java.util.List;

/**
 * Decides whether a request is sent to an engine, held or rejected. Pure; times in milliseconds.
 *
 * <p>It handles load peaks in which all slots are taken for some hundred milliseconds. A request
 * that is held here can be overtaken by a more urgent one or canceled, which is impossible in an
 * engine's queue. Nothing is held while any engine is not known to be full.
 */
public final class QueuePolicy {
  /**
   * The share of its spare time for which a request is held. The rest is left for the engine's own
   * queue, so that the response is on time even if no slot is known to become free.
   */
  private static final double HELD_SHARE = 0.5;

  private QueuePolicy() {}

  /**
   * The request to decide on.
   *
   * @param dueMs when its response should begin
   * @param deadlineMs when its caller gives up
   * @param holdUntilMs end of the hold that was granted before; {@link #NOT_HELD} if none
   * @param mayBeRejected whether it certainly has not run and nothing of a response was sent
   */
  public record Request(long dueMs, long deadlineMs, long holdUntilMs, boolean mayBeRejected) {
    /** The request has not been held yet. */
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
    return nowMs < untilMs ? new QueueDecision.Wait(untilMs) : new QueueDecision.Send();
  }

  private static long holdUntilMs(Request request, ServiceTimes times, long nowMs) {
    if (request.holdUntilMs() != Request.NOT_HELD) {
      return request.holdUntilMs();
    }
    double spareMs = request.dueMs() - nowMs - times.firstByteMs();
    return nowMs + Math.round(Math.max(0, spareMs) * HELD_SHARE);
  }

  /** A lower bound of the wait: that at the engine expected to have a free slot first. */
  public static double expectedWaitMs(List<EngineCapacity> engines, ServiceTimes times) {
    return engines.stream()
        .mapToDouble(engine -> engine.expectedWaitMs(times.slotTimeMs()))
        .min()
        .orElse(0);
  }
}
