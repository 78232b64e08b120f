package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.state.BatchJob;

/** What the leader knows of an item that has no result yet; confined to the consensus thread. */
final class ItemRun {
  private static final long NO_EVENT = -1;

  final BatchJob job;
  final BatchItem item;
  private final StringBuilder text = new StringBuilder();
  private long lastEventId = NO_EVENT;
  private int failures;
  private long notBeforeMs;
  private boolean decided;

  /** The send under way and its engine; null when there is none. */
  private ItemStream stream;

  private EngineState engine;

  ItemRun(BatchJob job, BatchItem item) {
    this.job = job;
    this.item = item;
  }

  /** When the item is due, in the time of the log. */
  long dueMs() {
    return job.submittedAtMs() + job.submission().runTargetMs();
  }

  boolean mayStart(long nowMs) {
    return stream == null && !decided && nowMs >= notBeforeMs;
  }

  boolean isRunning() {
    return stream != null;
  }

  ItemStream stream() {
    return stream;
  }

  EngineState engine() {
    return engine;
  }

  void onStart(ItemStream started, EngineState on) {
    stream = started;
    engine = on;
  }

  void onStop() {
    stream = null;
    engine = null;
  }

  /** Keeps the events that a send brought. */
  void keep(ItemOutcome outcome) {
    if (!outcome.text().isEmpty()) {
      if (text.length() > 0) {
        text.append('\n');
      }
      text.append(outcome.text());
    }
    lastEventId = outcome.lastEventId();
  }

  long lastEventId() {
    return lastEventId;
  }

  String text() {
    return text.toString();
  }

  int countFailure() {
    return ++failures;
  }

  void waitUntil(long nextMs) {
    notBeforeMs = nextMs;
  }

  /** An outcome was proposed; nothing more is sent. */
  void decide() {
    decided = true;
  }

  boolean isDecided() {
    return decided;
  }
}
