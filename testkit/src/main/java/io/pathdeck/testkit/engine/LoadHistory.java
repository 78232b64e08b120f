package io.pathdeck.testkit.engine;

import io.pathdeck.serving.engine.EngineLoad;
import java.util.ArrayDeque;

/** Remembers loads, to report them with a lag. */
final class LoadHistory {
  private record Entry(long atMs, EngineLoad load) {}

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final long lagMs;
  private EngineLoad reported = new EngineLoad(0, 0, 0);

  LoadHistory(long lagMs) {
    this.lagMs = lagMs;
  }

  synchronized void add(EngineLoad load, long nowMs) {
    if (entries.isEmpty() || !entries.peekLast().load().equals(load)) {
      entries.addLast(new Entry(nowMs, load));
    }
    advance(nowMs);
  }

  synchronized EngineLoad reported(long nowMs) {
    advance(nowMs);
    return reported;
  }

  private void advance(long nowMs) {
    while (!entries.isEmpty() && entries.peekFirst().atMs() + lagMs <= nowMs) {
      reported = entries.pollFirst().load();
    }
  }
}
