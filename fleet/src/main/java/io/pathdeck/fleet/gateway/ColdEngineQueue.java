package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.engine.EngineTable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

/**
 * Requests that only cold engines could serve, while this gateway may send these no more; confined
 * to the event loop.
 *
 * <p>A request waits only if the limit lets it through in time, counting the requests before it,
 * and is rejected immediately otherwise.
 */
final class ColdEngineQueue {
  /** Part of the time until its response is due that a request may wait. */
  private static final double HELD_SHARE = 0.25;

  /** As above, of the time until its deadline, for a request that may have run elsewhere. */
  private static final double RESUMED_HELD_SHARE = 0.5;

  /** When a rejected caller may try again: another gateway may have sends left. */
  private static final long EXPECTED_WAIT_MS = 300;

  private final EngineTable engines;
  private final QueueMetrics metrics;
  private final ObjLongConsumer<Dispatchable> rejection;
  private final Map<Dispatchable, Long> waitingUntilMs = new LinkedHashMap<>();

  /** Creates a queue that rejects requests through {@code rejection}, with the expected wait. */
  ColdEngineQueue(
      EngineTable engines, QueueMetrics metrics, ObjLongConsumer<Dispatchable> rejection) {
    this.engines = engines;
    this.metrics = metrics;
    this.rejection = rejection;
  }

  /**
   * Takes a request for which there is no candidate, or rejects it; returns false if no engine
   * would take it later either.
   */
  boolean offer(Dispatchable request, long nowMs) {
    Dispatchable.DispatchAttributes attributes = request.attributes();
    long untilMs = waitingUntilMs.getOrDefault(request, latestSendMs(attributes, nowMs));
    OptionalLong sends =
        engines.coldSendsUntil(attributes.service(), request.constraints(), untilMs, nowMs);
    if (sends.isEmpty()) {
      remove(request);
      return false;
    }
    if (waitingUntilMs.containsKey(request)) {
      return true;
    }
    if (sends.getAsLong() > waiting(attributes.service())) {
      metrics.onHeldForColdEngines();
      waitingUntilMs.put(request, untilMs);
      return true;
    }
    return rejectIfAllowed(request);
  }

  private static long latestSendMs(Dispatchable.DispatchAttributes attributes, long nowMs) {
    double waitMs =
        attributes.mayBeRejected()
            ? (attributes.dueMs() - nowMs) * HELD_SHARE
            : (attributes.deadlineMs() - nowMs) * RESUMED_HELD_SHARE;
    return nowMs + Math.round(Math.max(0, waitMs));
  }

  private long waiting(String service) {
    return waitingUntilMs.keySet().stream()
        .filter(request -> request.attributes().service().equals(service))
        .count();
  }

  /** Rejects a request; returns false if it may have run, so that it has to end in another way. */
  private boolean rejectIfAllowed(Dispatchable request) {
    metrics.onRejectedForColdEngines();
    if (!request.attributes().mayBeRejected()) {
      return false;
    }
    rejection.accept(request, EXPECTED_WAIT_MS);
    return true;
  }

  /** Passes requests to {@code submission} in order, as far as engines take them. */
  void release(Consumer<Dispatchable> submission, long nowMs) {
    for (Dispatchable request : List.copyOf(waitingUntilMs.keySet())) {
      Long untilMs = waitingUntilMs.get(request);
      if (untilMs == null) {
        continue;
      }
      if (nowMs >= untilMs) {
        remove(request);
        if (!rejectIfAllowed(request)) {
          request.sendTo(new ArrayList<>());
        }
      } else {
        submission.accept(request);
      }
    }
  }

  void remove(Dispatchable request) {
    waitingUntilMs.remove(request);
  }

  boolean isEmpty() {
    return waitingUntilMs.isEmpty();
  }
}
