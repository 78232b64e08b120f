package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.serving.http.HttpExchange;

/**
 * Reads the stream of one send no faster than the caller takes it, where answers count against a
 * memory budget; confined to the event loop.
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

  /** The call whose answer is read. */
  void begin(EngineTransport.Handle started) {
    handle = started;
  }

  /** Whether the caller's slowness holds the answer back, so that silence tells nothing. */
  boolean isPaused() {
    return readPause.isPaused();
  }

  /** Pauses or goes on; returns whether reading has just gone on. */
  boolean update(long nowMs) {
    if (!exchange.memory().countsAnswers()) {
      return false;
    }
    boolean before = readPause.isPaused();
    boolean paused = readPause.update(exchange.pendingBytes(), nowMs);
    if (paused && !before) {
      metrics.onReadPaused();
      handle.pauseReading();
    } else if (before && !paused) {
      handle.resumeReading();
    }
    return before && !paused;
  }
}
