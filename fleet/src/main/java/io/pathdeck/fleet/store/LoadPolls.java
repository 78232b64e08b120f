package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * When engines are asked for their load: while batch items wait or run, what online requests take
 * of the engines must be known. Confined to the consensus thread.
 *
 * <p>Engines that run items are asked more often than the others: until a report shows that a
 * request waits, no item makes room for it, and half of a usual objective of callers of 300 ms is
 * what a request can wait for the report, its way and the stop.
 */
final class LoadPolls {
  static final long BUSY_INTERVAL_MS = 100;
  static final long IDLE_INTERVAL_MS = 300;

  private final Consumer<EngineInstance> requestReport;
  private long nextBusyPollMs;
  private long nextIdlePollMs;

  /** Asks engines by {@code ask}. */
  LoadPolls(Consumer<EngineInstance> ask) {
    this.requestReport = ask;
  }

  /** Asks those engines whose turn it is; those without items only while {@code itemsWait}. */
  void onStep(Collection<EngineState> engines, boolean itemsWait, long nowMs) {
    boolean running = nowMs >= nextBusyPollMs;
    boolean others = itemsWait && nowMs >= nextIdlePollMs;
    for (EngineState engine : engines) {
      boolean isDue = engine.inFlight() > 0 ? running : others;
      if (isDue && !engine.isOutOfService(nowMs)) {
        requestReport.accept(engine.instance());
      }
    }
    if (running) {
      nextBusyPollMs = nowMs + BUSY_INTERVAL_MS;
    }
    if (others) {
      nextIdlePollMs = nowMs + IDLE_INTERVAL_MS;
    }
  }
}
