package io.pathdeck.control;

import io.pathdeck.protocol.raft.GroupConfiguration;

/**
 * Tracks whether a group has the voters that the tolerated losses need.
 *
 * <p>A group is founded by a few members and grows as others join. What only the founders have
 * agreed on is lost with the tolerated number of disks, so a new group acknowledges nothing until
 * it has enough voters. A group that never gets them acknowledges after {@link #MAX_HOLD_MS}.
 */
final class VoterRequirement {
  /** How long after the start of the process acknowledgements are held back at most. */
  static final long MAX_HOLD_MS = 4_000;

  private static final int NOTHING_REQUIRED = 0;

  private final int neededVoters;
  private final long holdUntilMs;
  private boolean formed;
  private int voters;

  /**
   * Creates the requirement of a group.
   *
   * @param neededVoters the number of voters that keep a quorum after the tolerated losses
   * @param formed whether the group is known to have had enough voters
   */
  VoterRequirement(int neededVoters, boolean formed, long nowMs) {
    this.neededVoters = neededVoters;
    this.formed = formed;
    this.holdUntilMs = nowMs + MAX_HOLD_MS;
  }

  /** Creates the requirement of a group with configured members, which needs no others. */
  static VoterRequirement none() {
    return new VoterRequirement(NOTHING_REQUIRED, true, 0);
  }

  int neededVoters() {
    return neededVoters;
  }

  /** Applies a committed configuration. */
  void onConfiguration(GroupConfiguration committed) {
    voters = committed.voterCount();
    formed |= voters >= neededVoters;
  }

  /** Applies a snapshot, which only a group that was formed earlier has. */
  void onSnapshot() {
    formed = true;
  }

  /** Whether acknowledgements have to wait for further voters. */
  boolean holdsAcknowledgements(long nowMs) {
    return !formed && nowMs < holdUntilMs;
  }

  /** Whether the group lacks voters, although a new group would have had the time to get them. */
  boolean lacksVoters(long nowMs) {
    return nowMs >= holdUntilMs && voters > 0 && voters < neededVoters;
  }
}
