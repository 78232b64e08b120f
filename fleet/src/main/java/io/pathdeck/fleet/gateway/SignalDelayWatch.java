package io.pathdeck.fleet.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Notices on a thread of its own when this process stands still. A process that stands still
 * handles a signal late, while the time until it is killed runs on.
 */
final class SignalDelayWatch implements AutoCloseable {
  private static final long TICK_MS = 100;

  /** More than a busy machine delays a tick. */
  private static final long MIN_GAP_NS = TimeUnit.MILLISECONDS.toNanos(4 * TICK_MS);

  /** More than a process that runs again takes to handle a pending signal on a busy machine. */
  private static final long MAX_SIGNAL_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** What a pending signal usually takes to be handled; requests wait for so long. */
  private static final long USUAL_SIGNAL_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Leaves time to drain, also after a long suspension that ended before the signal came. */
  private static final long MAX_LOOKBACK_NS = TimeUnit.SECONDS.toNanos(5);

  private final Thread thread = new Thread(this::run, "signal-delay-watch");
  private volatile boolean closed;
  private long lastTickNs;
  private long gapBeginNs;
  private long gapEndNs;

  /** Creates a watch that knows that the process runs now. */
  SignalDelayWatch(long nowNs) {
    lastTickNs = nowNs;
    gapBeginNs = nowNs;
    gapEndNs = nowNs;
    thread.setDaemon(true);
  }

  SignalDelayWatch start() {
    thread.start();
    return this;
  }

  private void run() {
    try {
      while (!closed) {
        onTick(System.nanoTime());
        Thread.sleep(TICK_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Records that the process runs. */
  synchronized void onTick(long nowNs) {
    if (nowNs - lastTickNs > MIN_GAP_NS) {
      boolean goesOn = lastTickNs - gapEndNs <= MAX_SIGNAL_DELAY_NS && gapBeginNs != gapEndNs;
      gapBeginNs = goesOn ? gapBeginNs : lastTickNs;
      gapEndNs = nowNs;
    }
    lastTickNs = nowNs;
  }

  /** Returns the earliest instant at which a signal that was handled then may have been sent. */
  synchronized long earliestSignalNs(long handledNs) {
    onTick(Math.max(handledNs, lastTickNs));
    boolean hadJustResumed =
        gapBeginNs < handledNs && hasResumedWithin(MAX_SIGNAL_DELAY_NS, handledNs);
    return hadJustResumed ? Math.max(gapBeginNs, handledNs - MAX_LOOKBACK_NS) : handledNs;
  }

  /** Returns whether a signal that came during a suspension may not have been handled yet. */
  synchronized boolean maySignalBePending(long nowNs) {
    onTick(nowNs);
    return hasResumedWithin(USUAL_SIGNAL_DELAY_NS, nowNs);
  }

  private boolean hasResumedWithin(long periodNs, long nowNs) {
    return gapBeginNs != gapEndNs && nowNs - gapEndNs <= periodNs;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
