package io.pathdeck.fleet.store;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** How long an item has waited for each reason in its present wait, in the order of the reasons. */
final class WaitTimes {
  private final Map<WaitReason, Long> timesMs = new LinkedHashMap<>();
  private long observedMs;

  WaitTimes(long nowMs) {
    observedMs = nowMs;
  }

  /** Adds the time since the last call to {@code reason}. */
  void add(WaitReason reason, long nowMs) {
    timesMs.merge(reason, nowMs - observedMs, Long::sum);
    observedMs = nowMs;
  }

  /** Leaves out the time since the last call, in which the item was at an engine. */
  void skip(long nowMs) {
    observedMs = nowMs;
  }

  /** Begins a new wait. */
  void clear(long nowMs) {
    timesMs.clear();
    observedMs = nowMs;
  }

  @Override
  public String toString() {
    return timesMs.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .map(entry -> entry.getKey() + " " + entry.getValue())
        .collect(Collectors.joining(", "));
  }
}
