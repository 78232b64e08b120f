package io.pathdeck.consensus;

/**
 * Rules for admitting and removing members of a group.
 *
 * @param open whether a replica outside the configuration is admitted on request
 * @param minVoters the minimum number of voters; a removal must not go below it
 * @param maxSilenceMs how long a member may be silent before it can be removed
 */
public record MembershipPolicy(boolean open, int minVoters, long maxSilenceMs) {
  /** The members are configured; only their incarnations change. */
  public static final MembershipPolicy FIXED =
      new MembershipPolicy(false, Integer.MAX_VALUE, Long.MAX_VALUE);

  private static final long DEFAULT_MAX_SILENCE_MS = 2_500;

  /**
   * Dynamic membership that tolerates the loss of {@code tolerated} members at once.
   *
   * <p>The group never shrinks below the size that still has a quorum after that loss.
   */
  public static MembershipPolicy openTolerating(int tolerated) {
    return new MembershipPolicy(true, 2 * tolerated + 1, DEFAULT_MAX_SILENCE_MS);
  }
}
