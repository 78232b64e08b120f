package io.pathdeck.fleet.queue;

import java.util.List;

/**
 * Decides whether a request goes to an engine, waits or is rejected. Pure; times in milliseconds.
 *
 * <p>It answers crests in which all places are taken for some hundred milliseconds. A request that
 * waits here can be overtaken by a more urgent one and recalled; in an engine's queue it cannot.
 * While a single engine is not known to be full, nothing waits.
 */
public final class QueuePolicy {
  /**
   * The share of its spare time for which a request waits here. The rest is left for the engine's
   * own queue, so that a caller is in time even when no place is known to become free.
   */
  private static final double HELD_SHARE = 0.5;

  private QueuePolicy() {}

  /**
   * The request.
   *
   * @param dueMs when its answer should begin
   * @param deadlineMs when its caller leaves
   * @param holdUntilMs when its wait ends that was granted before; {@link #NOT_HELD} for none
   * @param mayBeRejected whether it surely has not run and nothing of an answer was sent
   */
  public record Request(long dueMs, long deadlineMs, long holdUntilMs, boolean mayBeRejected) {
    /** The request has not waited yet. */
    public static final long NOT_HELD = -1;
  }

  /** Decides on a request that may go to {@code engines}. */
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

  /** How long a request waits at the engine that is expected to be free first; at least so long. */
  public static double expectedWaitMs(List<EngineCapacity> engines, ServiceTimes times) {
    return engines.stream()
        .mapToDouble(engine -> engine.expectedWaitMs(times.slotTimeMs()))
        .min()
        .orElse(0);
  }
}
