package io.pathdeck.cli;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Closes a process in order on SIGTERM. If it is installed before the start, a process that accepts
 * calls while it starts is closed in order once it has started.
 */
final class StopSignal {
  private static final EventLog EVENTS = EventLog.of(StopSignal.class);

  /** Stops a process that has started. */
  @FunctionalInterface
  interface Stop {
    /**
     * Stops the process.
     *
     * @param signaledNs when the signal was handled, by {@link System#nanoTime}; it may have come
     *     during the start
     */
    void run(long signaledNs) throws Exception;
  }

  private final CompletableFuture<Optional<Stop>> started = new CompletableFuture<>();

  private StopSignal() {}

  /** Takes SIGTERM over; the end of the process waits for the outcome of the start from now on. */
  static StopSignal install() {
    StopSignal signal = new StopSignal();
    Runtime.getRuntime().addShutdownHook(new Thread(signal::onSignal, "stop"));
    return signal;
  }

  /** Waits for the signal; the process's own threads keep it alive. */
  void runUntilStopped(Stop stop) {
    started.complete(Optional.of(stop));
    try {
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Lets the process end if it has not started. */
  void onStartEnded() {
    started.complete(Optional.empty());
  }

  private void onSignal() {
    long signaledNs = System.nanoTime();
    Optional<Stop> stop = started.join();
    if (stop.isEmpty()) {
      return;
    }
    try {
      stop.get().run(signaledNs);
    } catch (Exception e) {
      EVENTS.log(EventCode.DUTY_FAILED, e, "duty", "stop");
    }
    // Everything is closed. Threads that only wait must not hold the end up.
    RoleCommand.halt(ExitCode.OK.value());
  }
}
