package io.pathdeck.cli;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import java.util.function.IntConsumer;

/**
 * Ends a process one of whose threads has ended by an {@link Error}, such as a missing class.
 *
 * <p>Without it a role lives on without that thread: a coordinator without its storage thread
 * stores nothing any more, and nobody starts it again.
 */
final class FatalErrors implements Thread.UncaughtExceptionHandler {
  private static final EventLog EVENTS = EventLog.of(FatalErrors.class);

  private final IntConsumer halt;

  /**
   * Creates a handler.
   *
   * @param halt ends the process with an exit code, without running shutdown hooks
   */
  FatalErrors(IntConsumer halt) {
    this.halt = halt;
  }

  @Override
  public void uncaughtException(Thread thread, Throwable error) {
    boolean fatal = error instanceof Error;
    EVENTS.log(EventCode.THREAD_ENDED, error, "thread", thread.getName(), "fatal", fatal);
    if (fatal) {
      halt.accept(ExitCode.FAILURE.value());
    }
  }
}
