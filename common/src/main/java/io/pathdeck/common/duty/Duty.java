package io.pathdeck.common.duty;

/**
 * One responsibility of a process, run on a thread of its own.
 *
 * <p>A duty shares no mutable state: it receives messages through a {@link BoundedRing} and
 * publishes snapshots to {@link Section sections}.
 */
public interface Duty {
  /** The name of the duty's thread. */
  String name();

  /**
   * Does the work at hand without blocking.
   *
   * @param nowNs the monotonic time
   * @return how many items were handled; 0 lets the thread wait
   */
  int doWork(long nowNs);

  /** The longest time to wait for a message before {@link #doWork} runs again. */
  long maxIdleNs();

  /** Called on the duty's thread when the duty ends. */
  default void onClose() {}
}
