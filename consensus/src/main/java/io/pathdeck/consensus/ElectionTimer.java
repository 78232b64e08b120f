package io.pathdeck.consensus;

import java.util.SplittableRandom;

/** When a replica campaigns, and until when it gives no vote to others. */
final class ElectionTimer {
  /** How much longer than the others a member that is to leave waits before it campaigns. */
  private static final long LEAVING_DELAY_MS = 3_000;

  /**
   * How long a replica leaves the field to another one that asks for votes: an election's two round
   * trips and its sync on a slow machine.
   */
  private static final long CAMPAIGN_DEFERRAL_MS = 150;

  /** The pause before a replica that starts asks again whether it could win, and its spread. */
  private static final long STARTUP_RETRY_MS = 150;

  private static final long STARTUP_RETRY_JITTER_MS = 300;

  /** How long after its start a replica asks that often: some longest election timeouts. */
  private static final long STARTUP_PERIOD_MS = 3_600;

  private final RaftSettings settings;
  private final SplittableRandom random;
  private final long startMs;
  private boolean leaderHeard;
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
    this.startMs = nowMs;
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

  /**
   * Begins to wait for the answers to a pre-vote. While replicas start together the first one may
   * be lost, for the others do not listen yet; a whole election timeout is not waited then.
   * Pre-votes promise nothing, so asking again is safe.
   */
  void onPreVoteRequested(long nowMs) {
    reset(nowMs);
    if (!leaderHeard && !leaving && nowMs - startMs < STARTUP_PERIOD_MS) {
      deadlineMs = nowMs + STARTUP_RETRY_MS + random.nextLong(STARTUP_RETRY_JITTER_MS);
    }
  }

  /**
   * Another replica that could win asks for votes. The delay is far shorter than the time between
   * two campaigns, so a candidate that never wins cannot keep others from campaigning.
   */
  void deferCampaign(long nowMs) {
    deadlineMs = Math.max(deadlineMs, nowMs + CAMPAIGN_DEFERRAL_MS);
  }

  /** A leader was heard: no vote is given for the shortest election timeout. */
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

  /** Whether no leader was heard for longer than an election should take. */
  boolean isLeaderLost(long nowMs) {
    return nowMs >= refuseVotesUntilMs + settings.electionTimeoutMaxMs();
  }
}
