package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.serving.http.HttpExchange;

/**
 * Applies backpressure to the response stream of one attempt: pauses reads from the engine while
 * the caller is slow. Active only if responses count against a memory budget. Confined to the event
 * loop.
 */
final class ResponseFlowControl {
  private final HttpExchange exchange;
  private final MemoryMetrics metrics;
  private final ReadPause readPause = new ReadPause();
  private EngineTransport.Handle handle;

  ResponseFlowControl(HttpExchange exchange, MemoryMetrics metrics) {
    this.exchange = exchange;
    this.metrics = metrics;
  }

  /** Sets the engine call to control. */
  void attach(EngineTransport.Handle call) {
    handle = call;
  }

  /** Returns whether reads are paused; silence of the engine is then no sign of failure. */
  boolean isPaused() {
    return readPause.isPaused();
  }

  /** Pauses or resumes reading; returns whether reading was resumed by this call. */
  boolean update(long nowMs) {
    if (!exchange.memory().limitsResponses()) {
      return false;
    }
    boolean wasPaused = readPause.isPaused();
    boolean paused = readPause.update(exchange.pendingBytes(), nowMs);
    if (paused && !wasPaused) {
      metrics.onReadPaused();
      handle.pauseReading();
    } else if (wasPaused && !paused) {
      handle.resumeReading();
    }
    return wasPaused && !paused;
  }
}
