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

  ElectionTimer(RaftSettings settings, long seed, long nowMs) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.refuseVotesUntilMs = nowMs + settings.electionTimeoutMinMs();
    reset(nowMs);
  }

  /** A member that is to leave lets the others lead. */
  void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Begins to wait anew. */
  void reset(long nowMs) {
    long spread = settings.electionTimeoutMaxMs() - settings.electionTimeoutMinMs();
    long waitMs = settings.electionTimeoutMinMs() + random.nextLong(Math.max(1, spread));
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
