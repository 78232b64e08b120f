package io.pathdeck.common.duty;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;

/** Runs a {@link Duty} on its own thread until closed. */
public final class DutyThread implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(DutyThread.class);
  private static final long JOIN_TIMEOUT_MS = 5_000;

  private final Duty duty;
  private final BoundedRing<?> ring;
  private final Thread thread;
  private volatile boolean running = true;

  /** Prepares a thread that waits on {@code ring} when {@code duty} has nothing to do. */
  public DutyThread(Duty duty, BoundedRing<?> ring) {
    this.duty = duty;
    this.ring = ring;
    this.thread = new Thread(this::run, duty.name());
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public DutyThread start() {
    thread.start();
    return this;
  }

  private void run() {
    while (running) {
      int work = runOnce();
      if (work == 0) {
        ring.await(duty.maxIdleNs());
      }
    }
    duty.onClose();
  }

  @SuppressWarnings("CatchingUnchecked") // a duty's thread must outlive a failing step
  private int runOnce() {
    try {
      return duty.doWork(System.nanoTime());
    } catch (Exception e) {
      EVENTS.log(EventCode.DUTY_FAILED, e, "duty", duty.name());
      return 0;
    }
  }

  /** Stops the thread and waits for its end. */
  @Override
  public void close() {
    running = false;
    ring.wakeConsumer();
    try {
      thread.join(JOIN_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
