package io.pathdeck.fleet.quarantine;

import io.pathdeck.fleet.engine.EngineTransport.Handle;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A quarantined call that waits for the grant of a trial, and then runs as one; confined to the
 * event loop.
 */
final class TrialStart implements Handle {
  private final long requestedMs;
  private Optional<Handle> handle = Optional.empty();
  private Optional<TrialRun> run = Optional.empty();
  private boolean canceled;
  private boolean paused;

  TrialStart(long requestedMs) {
    this.requestedMs = requestedMs;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** When the leading coordinator was asked for the trial. */
  long requestedMs() {
    return requestedMs;
  }

  boolean isCanceled() {
    return canceled;
  }

  void onStarted(Handle newHandle, Optional<TrialRun> newRun) {
    handle = Optional.of(newHandle);
    run = newRun;
    if (paused) {
      newHandle.pauseReading();
    }
  }

  @Override
  public void cancel() {
    canceled = true;
    handle.ifPresent(Handle::cancel);
    run.ifPresent(trial -> trial.cancel(nowMs()));
  }

  @Override
  public boolean awaitsVerdict() {
    return run.map(trial -> trial.awaitsVerdict(nowMs())).orElse(true);
  }

  @Override
  public void pauseReading() {
    paused = true;
    handle.ifPresent(Handle::pauseReading);
  }

  @Override
  public void resumeReading() {
    paused = false;
    handle.ifPresent(Handle::resumeReading);
  }
}
