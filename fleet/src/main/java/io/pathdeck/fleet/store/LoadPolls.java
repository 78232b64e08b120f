package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Polls engines for their load while batch items wait or run; confined to the consensus thread.
 *
 * <p>Engines that run items are polled more often, because an item yields only once a report shows
 * a waiting request. The poll interval, the transfer of the report and the stop together take at
 * most half of a typical latency target of 300 ms.
 */
final class LoadPolls {
  static final long BUSY_POLL_INTERVAL_MS = 100;
  static final long IDLE_POLL_INTERVAL_MS = 300;

  private final Consumer<EngineInstance> requestReport;
  private long nextBusyPollMs;
  private long nextIdlePollMs;

  LoadPolls(Consumer<EngineInstance> requestReport) {
    this.requestReport = requestReport;
  }

  /** Polls the engines that are due; engines without items only while {@code itemsWait}. */
  void onStep(Collection<EngineState> engines, boolean itemsWait, long nowMs) {
    boolean busyDue = nowMs >= nextBusyPollMs;
    boolean idleDue = itemsWait && nowMs >= nextIdlePollMs;
    for (EngineState engine : engines) {
      boolean isDue = engine.inFlight() > 0 ? busyDue : idleDue;
      if (isDue && !engine.isOutOfService(nowMs)) {
        requestReport.accept(engine.instance());
      }
    }
    if (busyDue) {
      nextBusyPollMs = nowMs + BUSY_POLL_INTERVAL_MS;
    }
    if (idleDue) {
      nextIdlePollMs = nowMs + IDLE_POLL_INTERVAL_MS;
    }
  }
}
