package io.pathdeck.fleet.load;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.LongAdder;

/** Metrics of the datagrams with in-flight call counts. Thread-safe. */
public final class LoadMetrics {
  private final LongAdder sent = new LongAdder();
  private final LongAdder received = new LongAdder();
  private final LongAdder dropped = new LongAdder();

  void onSent() {
    sent.increment();
  }

  void onReceived() {
    received.increment();
  }

  void onDropped() {
    dropped.increment();
  }

  long sent() {
    return sent.sum();
  }

  long received() {
    return received.sum();
  }

  long dropped() {
    return dropped.sum();
  }

  /** Registers the metrics. */
  public void bindTo(MeterRegistry registry) {
    register(registry, "pathdeck.load.datagrams.sent", sent);
    register(registry, "pathdeck.load.datagrams.received", received);
    register(registry, "pathdeck.load.datagrams.dropped", dropped);
  }

  private static void register(MeterRegistry registry, String name, LongAdder count) {
    FunctionCounter.builder(name, count, LongAdder::sum).register(registry);
  }
}
