package io.pathdeck.control;

import java.util.concurrent.TimeUnit;

/** The clocks of a controller. */
public interface ControllerClock {
  /** Milliseconds of a clock that never jumps. */
  long monotonicMs();

  /** Milliseconds since the epoch, as the machine believes. */
  long wallMs();

  /** The machine's clocks. */
  static ControllerClock system() {
    return new ControllerClock() {
      @Override
      public long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
      }

      @Override
      public long wallMs() {
        return System.currentTimeMillis();
      }
    };
  }
}
