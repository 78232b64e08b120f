package io.pathdeck.fleet.quarantine;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Tells operators for how long this process has held requests back, so that a request or part that
 * is quarantined by mistake is seen. Written on the event loop; metrics may be read on any thread.
 */
public final class HeldBackSends {
  private static final EventLog EVENTS = EventLog.of(HeldBackSends.class);
  private static final long LOG_INTERVAL_MS = 5_000;
  private static final long NONE = Long.MAX_VALUE;

  /** The sends that one fingerprint held back. */
  private static final class Refusals {
    private final long sinceMs;
    private long count;
    private long nextLogMs;

    private Refusals(long sinceMs) {
      this.sinceMs = sinceMs;
      this.nextLogMs = sinceMs;
    }
  }

  private final Map<RequestFingerprint, Refusals> refusals = new HashMap<>();
  private final LongAdder total = new LongAdder();
  private volatile long oldestMs = NONE;

  /** Registers the metrics. */
  public void bindTo(MeterRegistry registry) {
    FunctionCounter.builder("pathdeck.quarantined.sends", this, held -> held.total.sum())
        .register(registry);
    Gauge.builder("pathdeck.quarantine.longest.seconds", this, HeldBackSends::longestSeconds)
        .register(registry);
  }

  private double longestSeconds() {
    long sinceMs = oldestMs;
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    return sinceMs == NONE ? 0 : (nowMs - sinceMs) / 1_000.0;
  }

  /** Records that a send was refused because of {@code cause}. */
  void onRefused(RequestFingerprint cause, long nowMs) {
    Refusals refused = refusals.computeIfAbsent(cause, key -> new Refusals(nowMs));
    refused.count++;
    total.increment();
    oldestMs = Math.min(oldestMs, refused.sinceMs);
    if (nowMs >= refused.nextLogMs) {
      refused.nextLogMs = nowMs + LOG_INTERVAL_MS;
      EVENTS.log(
          EventCode.SENDS_HELD_BACK,
          "fingerprint",
          cause.shortForm(),
          "held_ms",
          nowMs - refused.sinceMs,
          "sends",
          refused.count);
    }
  }

  /** Forgets what is no longer quarantined. */
  void retain(Set<RequestFingerprint> quarantined) {
    if (refusals.keySet().retainAll(quarantined)) {
      oldestMs =
          refusals.values().stream().mapToLong(refused -> refused.sinceMs).min().orElse(NONE);
    }
  }
}
