package io.pathdeck.fleet.quarantine;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.TrialState;
import java.util.Collection;
import java.util.EnumMap;
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
  private static final String NO_TRIAL = "";

  /** The sends that one fingerprint held back. */
  private static final class Refusals {
    private final long sinceMs;
    private long count;
    private long nextLogMs;
    private int trials;
    private String lastOutcome = NO_TRIAL;

    private Refusals(long sinceMs) {
      this.sinceMs = sinceMs;
      this.nextLogMs = sinceMs;
    }
  }

  private final Map<RequestFingerprint, Refusals> refusals = new HashMap<>();
  private final LongAdder total = new LongAdder();
  private final Map<TrialState, LongAdder> trialsByOutcome = new EnumMap<>(TrialState.class);
  private volatile long oldestMs = NONE;

  HeldBackSends() {
    for (TrialState state : TrialState.values()) {
      if (state.isOutcome()) {
        trialsByOutcome.put(state, new LongAdder());
      }
    }
  }

  /** Registers the metrics. */
  public void bindTo(MeterRegistry registry) {
    trialsByOutcome.forEach(
        (outcome, count) ->
            FunctionCounter.builder("pathdeck.quarantine.trials", count, LongAdder::sum)
                .tag("outcome", outcome.name())
                .register(registry));
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
          refused.count,
          "trials",
          refused.trials,
          "last_outcome",
          refused.lastOutcome);
    }
  }

  /** Records how a trial of this process ended. */
  void onTrialEnded(Collection<RequestFingerprint> suspects, TrialState outcome) {
    trialsByOutcome.get(outcome).increment();
    for (RequestFingerprint suspect : suspects) {
      Refusals refused = refusals.get(suspect);
      if (refused != null) {
        refused.trials++;
        refused.lastOutcome = outcome.name();
      }
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
