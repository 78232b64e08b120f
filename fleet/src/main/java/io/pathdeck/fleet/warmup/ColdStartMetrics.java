package io.pathdeck.fleet.warmup;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Metrics of a gateway's sends to cold engines. Thread-safe. */
public final class ColdStartMetrics {
  private final AtomicInteger coldEngines = new AtomicInteger();
  private final AtomicInteger worstSecond = new AtomicInteger();
  private final LongAdder sends = new LongAdder();

  void setColdEngines(int engines) {
    coldEngines.set(engines);
  }

  /** Counts a send to a cold engine that this gateway sent so many in the last second. */
  void onColdSend(int sentInSecond) {
    sends.increment();
    worstSecond.accumulateAndGet(sentInSecond, Math::max);
  }

  /** The most sends of this gateway to one cold engine in any second. */
  int worstSecond() {
    return worstSecond.get();
  }

  public void bindTo(MeterRegistry registry) {
    Gauge.builder("pathdeck.engines.cold", coldEngines, AtomicInteger::get).register(registry);
    Gauge.builder("pathdeck.engines.cold.worst.second", worstSecond, AtomicInteger::get)
        .register(registry);
    FunctionCounter.builder("pathdeck.engines.cold.sends", sends, LongAdder::sum)
        .register(registry);
  }
}
