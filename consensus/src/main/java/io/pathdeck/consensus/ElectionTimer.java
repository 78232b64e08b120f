package io.pathdeck.consensus;

import java.util.SplittableRandom;

/** Decides when a replica campaigns, and until when it refuses to vote for others. */
final class ElectionTimer {
  /** How much longer a leaving member waits before it campaigns. */
  private static final long LEAVING_DELAY_MS = 3_000;

  /**
   * How long a replica defers its campaign in favor of another candidate; covers the two round
   * trips of an election and a sync on a slow machine.
   */
  private static final long CAMPAIGN_DEFERRAL_MS = 150;

  /** The delay before a starting replica repeats its pre-vote; a random jitter is added. */
  private static final long STARTUP_RETRY_MS = 150;

  private static final long STARTUP_RETRY_JITTER_MS = 300;

  /**
   * The period after startup in which a replica that has heard from no leader repeats its pre-vote
   * after {@link #STARTUP_RETRY_MS} instead of an election timeout; several maximum election
   * timeouts.
   */
  private static final long STARTUP_PERIOD_MS = 3_600;

  private final RaftSettings settings;
  private final SplittableRandom random;
  private final long startMs;
  private boolean leaderHeard;
  private boolean leaving;
  private long deadlineMs;
  private long refuseVotesUntilMs;

  /**
   * Starts the timer.
   *
   * @param processStartMs a time at or after the start of this process. An earlier process of this
   *     replica cannot have acknowledged a leader after it, so votes are refused for the minimum
   *     election timeout from this time on
   */
  ElectionTimer(RaftSettings settings, long seed, long processStartMs, long nowMs) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.startMs = nowMs;
    this.refuseVotesUntilMs = processStartMs + settings.electionTimeoutMinMs();
    this.deadlineMs = Math.max(nowMs, refuseVotesUntilMs) + randomDelayMs();
  }

  private long randomDelayMs() {
    long spread = settings.electionTimeoutMaxMs() - settings.electionTimeoutMinMs();
    return random.nextLong(Math.max(1, spread));
  }

  /** Sets whether this member is leaving; a leaving member campaigns later than the others. */
  void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Restarts the election timeout. */
  void reset(long nowMs) {
    long waitMs = settings.electionTimeoutMinMs() + randomDelayMs();
    deadlineMs = nowMs + waitMs + (leaving ? LEAVING_DELAY_MS : 0);
  }

  /**
   * Restarts the timeout after a pre-vote was requested. When replicas start together, the first
   * request may be lost because the other replicas are not listening yet, so it is repeated after a
   * shorter delay. Pre-votes are not binding, so repeating them is safe.
   */
  void onPreVoteRequested(long nowMs) {
    reset(nowMs);
    if (!leaderHeard && !leaving && nowMs - startMs < STARTUP_PERIOD_MS) {
      deadlineMs = nowMs + STARTUP_RETRY_MS + random.nextLong(STARTUP_RETRY_JITTER_MS);
    }
  }

  /**
   * Defers the campaign in favor of another candidate that could win. The delay is far shorter than
   * the time between two campaigns, so a candidate that never wins cannot keep others from
   * campaigning.
   */
  void deferCampaign(long nowMs) {
    deadlineMs = Math.max(deadlineMs, nowMs + CAMPAIGN_DEFERRAL_MS);
  }

  /** Restarts the timeout and refuses votes for the minimum election timeout. */
  void onLeaderHeard(long nowMs) {
    leaderHeard = true;
    refuseVotesUntilMs = Math.max(refuseVotesUntilMs, nowMs + settings.electionTimeoutMinMs());
    reset(nowMs);
  }

  boolean isExpired(long nowMs) {
    return nowMs >= deadlineMs;
  }

  boolean refusesVotes(long nowMs) {
    return nowMs < refuseVotesUntilMs;
  }

  /** Whether the replica has heard from no leader for longer than an election takes. */
  boolean isLeaderLost(long nowMs) {
    return nowMs >= refuseVotesUntilMs + settings.electionTimeoutMaxMs();
  }
}
