package io.pathdeck.fleet.gateway;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** Metrics of a gateway's memory for callers' data. Thread-safe. */
final class MemoryMetrics {
  private final AtomicLong heldBytes = new AtomicLong();
  private final LongAdder rejected = new LongAdder();
  private final LongAdder aborted = new LongAdder();
  private final LongAdder readsPaused = new LongAdder();

  void setHeldBytes(long bytes) {
    heldBytes.set(bytes);
  }

  void onRejected() {
    rejected.increment();
  }

  void onAborted() {
    aborted.increment();
  }

  void onReadPaused() {
    readsPaused.increment();
  }

  long rejected() {
    return rejected.sum();
  }

  long readsPaused() {
    return readsPaused.sum();
  }

  long aborted() {
    return aborted.sum();
  }

  void bindTo(MeterRegistry registry) {
    Gauge.builder("pathdeck.memory.held.bytes", heldBytes, AtomicLong::get).register(registry);
    counter(registry, "pathdeck.memory.rejected", rejected);
    counter(registry, "pathdeck.memory.broken.off", aborted);
    counter(registry, "pathdeck.engine.reads.paused", readsPaused);
  }

  private static void counter(MeterRegistry registry, String name, LongAdder count) {
    FunctionCounter.builder(name, count, LongAdder::sum).register(registry);
  }
}
