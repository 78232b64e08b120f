package io.pathdeck.common.events;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** How many lines a second each event of single requests may take. Thread-safe. */
final class LineBudget {
  /** The most lines a second of one event. */
  static final int LINES_PER_SECOND = 60;

  /** The budget of this process. */
  static final LineBudget SHARED = new LineBudget();

  private static final long WINDOW_NS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Whether a line may be written.
   *
   * @param leftOutBefore how many lines of the event the windows before left out; told once
   */
  record Decision(boolean mayWrite, long leftOutBefore) {
    static final Decision WRITE = new Decision(true, 0);
  }

  private static final class Window {
    long startNs;
    int written;
    long leftOut;
  }

  private final Map<EventCode, Window> windows = new EnumMap<>(EventCode.class);

  Decision ask(EventCode code, long nowNs) {
    return code.isOfRequests() ? askLimited(code, nowNs) : Decision.WRITE;
  }

  private synchronized Decision askLimited(EventCode code, long nowNs) {
    Window window = windows.computeIfAbsent(code, key -> new Window());
    long before = 0;
    if (window.written == 0 || nowNs - window.startNs >= WINDOW_NS) {
      before = window.leftOut;
      window.startNs = nowNs;
      window.written = 0;
      window.leftOut = 0;
    }
    if (window.written < LINES_PER_SECOND) {
      window.written++;
      return new Decision(true, before);
    }
    window.leftOut++;
    return new Decision(false, before);
  }
}
