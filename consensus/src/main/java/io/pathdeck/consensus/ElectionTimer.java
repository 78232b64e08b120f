package io.pathdeck.consensus;

import java.util.SplittableRandom;

/** When a replica campaigns, and until when it gives no vote to others. */
final class ElectionTimer {
  /** How much longer than the others a member that is to leave waits before it campaigns. */
  private static final long LEAVING_DELAY_MS = 3_000;

  private final RaftSettings settings;
  private final SplittableRandom random;
  private boolean leaving;
  private long deadlineMs;
  private long refuseVotesUntilMs;

  /**
   * Begins to wait.
   *
   * @param processStartMs when the process began, or a later time. No promise of an earlier process
   *     to a leader was made after it, so the time that passed since counts as waited
   */
  ElectionTimer(RaftSettings settings, long seed, long processStartMs, long nowMs) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.refuseVotesUntilMs = processStartMs + settings.electionTimeoutMinMs();
    this.deadlineMs = Math.max(nowMs, refuseVotesUntilMs) + randomDelayMs();
  }

  private long randomDelayMs() {
    long spread = settings.electionTimeoutMaxMs() - settings.electionTimeoutMinMs();
    return random.nextLong(Math.max(1, spread));
  }

  /** A member that is to leave lets the others lead. */
  void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Begins to wait anew. */
  void reset(long nowMs) {
    long waitMs = settings.electionTimeoutMinMs() + randomDelayMs();
    deadlineMs = nowMs + waitMs + (leaving ? LEAVING_DELAY_MS : 0);
  }

  /** A leader was heard: no vote is given for the shortest election timeout. */
  void onLeaderHeard(long nowMs) {
    refuseVotesUntilMs = Math.max(refuseVotesUntilMs, nowMs + settings.electionTimeoutMinMs());
    reset(nowMs);
  }

  boolean isExpired(long nowMs) {
    return nowMs >= deadlineMs;
  }

  boolean refusesVotes(long nowMs) {
    return nowMs < refuseVotesUntilMs;
  }

  /** Whether no leader was heard for longer than an election should take. */
  boolean isLeaderLost(long nowMs) {
    return nowMs >= refuseVotesUntilMs + settings.electionTimeoutMaxMs();
  }
}
