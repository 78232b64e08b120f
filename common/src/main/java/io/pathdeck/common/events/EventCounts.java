package io.pathdeck.common.events;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/**
 * How often each event has happened in this process, whether or not its line was written, and how
 * many lines were not written. Thread-safe.
 */
public final class EventCounts {
  /** The counts of this process. */
  public static final EventCounts SHARED = new EventCounts();

  private final AtomicLongArray happened = new AtomicLongArray(EventCode.values().length);
  private final LongAdder leftOut = new LongAdder();
  private final LongAdder dropped = new LongAdder();

  void onHappened(EventCode code) {
    happened.incrementAndGet(code.ordinal());
  }

  void onLeftOut() {
    leftOut.increment();
  }

  void onDropped() {
    dropped.increment();
  }

  /** How often the event has happened. */
  public long happened(EventCode code) {
    return happened.get(code.ordinal());
  }

  /** The lines that exceeded the lines a second of their event. */
  public long linesLeftOut() {
    return leftOut.sum();
  }

  /** The lines for which the queue before the output had no room. */
  public long linesDropped() {
    return dropped.sum();
  }
}
