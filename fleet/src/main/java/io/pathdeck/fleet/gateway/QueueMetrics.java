package io.pathdeck.fleet.gateway;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Metrics of a gateway's request queues. Thread-safe. */
final class QueueMetrics {
  private final AtomicInteger waiting = new AtomicInteger();
  private final LongAdder sentAfterWait = new LongAdder();
  private final LongAdder rejectedTooLate = new LongAdder();
  private final LongAdder evicted = new LongAdder();
  private final LongAdder heldForColdEngines = new LongAdder();
  private final LongAdder rejectedForColdEngines = new LongAdder();

  void setWaiting(int requests) {
    waiting.set(requests);
  }

  void onSentAfterWait() {
    sentAfterWait.increment();
  }

  void onRejectedTooLate() {
    rejectedTooLate.increment();
  }

  void onEvicted() {
    evicted.increment();
  }

  void onHeldForColdEngines() {
    heldForColdEngines.increment();
  }

  void onRejectedForColdEngines() {
    rejectedForColdEngines.increment();
  }

  void bindTo(MeterRegistry registry) {
    Gauge.builder("pathdeck.requests.waiting", waiting, AtomicInteger::get).register(registry);
    counter(registry, "pathdeck.requests.sent.after.wait", sentAfterWait);
    counter(registry, "pathdeck.requests.rejected.hopeless", rejectedTooLate);
    counter(registry, "pathdeck.requests.given.way", evicted);
    counter(registry, "pathdeck.requests.held.cold", heldForColdEngines);
    counter(registry, "pathdeck.requests.rejected.cold", rejectedForColdEngines);
  }

  private static void counter(MeterRegistry registry, String name, LongAdder count) {
    FunctionCounter.builder(name, count, LongAdder::sum).register(registry);
  }
}
