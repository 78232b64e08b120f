package io.pathdeck.consensus;

/**
 * Who may become and stay a member of a group.
 *
 * @param open whether a replica that the configuration does not name is admitted when it asks
 * @param minVoters a silent voter is removed only while more than this many vote
 * @param maxSilenceMs how long a member must be silent before it may be removed
 */
public record MembershipPolicy(boolean open, int minVoters, long maxSilenceMs) {
  /** The members are those of the settings; only their incarnations change. */
  public static final MembershipPolicy FIXED =
      new MembershipPolicy(false, Integer.MAX_VALUE, Long.MAX_VALUE);

  private static final long DEFAULT_MAX_SILENCE_MS = 2_500;

  /**
   * Members come and go; {@code tolerated} of them may be lost at once.
   *
   * <p>The group is never shrunk below the size at which it still has a quorum after that loss.
   */
  public static MembershipPolicy openTolerating(int tolerated) {
    return new MembershipPolicy(true, 2 * tolerated + 1, DEFAULT_MAX_SILENCE_MS);
  }
}
