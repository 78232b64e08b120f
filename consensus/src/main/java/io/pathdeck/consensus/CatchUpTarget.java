package io.pathdeck.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The index that a learner must have synced to become a voter: the commit index of a while ago.
 *
 * <p>Under load, a learner that is slower than a quorum never has all that is committed at one
 * moment, although it keeps pace. Safety does not depend on the target, since any quorum after the
 * change shares a member with any quorum before it.
 */
final class CatchUpTarget {
  private record Sample(long atMs, long commitIndex) {}

  private final long maxLagMs;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private long index = Long.MAX_VALUE;

  /**
   * Creates a target that no learner reaches before the first observation.
   *
   * @param maxLagMs how far a voter may be behind
   */
  CatchUpTarget(long maxLagMs) {
    this.maxLagMs = maxLagMs;
  }

  /** Records the commit index; called regularly once an entry of the leader's term is committed. */
  void observe(long commitIndex, long nowMs) {
    samples.add(new Sample(nowMs, commitIndex));
    while (nowMs - samples.element().atMs() >= maxLagMs) {
      index = samples.remove().commitIndex();
    }
  }

  /** Whether a learner that has synced the log up to {@code matchIndex} keeps pace. */
  boolean isReached(long matchIndex, long commitIndex) {
    return matchIndex > 0 && matchIndex >= Math.min(index, commitIndex);
  }
}
