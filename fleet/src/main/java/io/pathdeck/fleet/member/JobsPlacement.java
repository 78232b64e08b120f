package io.pathdeck.fleet.member;

/**
 * Which group keeps a batch job.
 *
 * <p>The number of groups is decided once, when they are founded, so that a job is always found in
 * the group that accepted it.
 */
public final class JobsPlacement {
  private JobsPlacement() {}

  /**
   * The group of a job, from 1.
   *
   * @param groups the number of groups, at least one
   */
  public static int groupOf(String jobId, int groups) {
    return 1 + Math.floorMod(mixBits(jobId.hashCode()), groups);
  }

  /** Spreads hash codes whose low bits are alike (the finalizer of MurmurHash3). */
  private static int mixBits(int hash) {
    int mixed = hash ^ (hash >>> 16);
    mixed *= 0x85ebca6b;
    mixed ^= mixed >>> 13;
    mixed *= 0xc2b2ae35;
    return mixed ^ (mixed >>> 16);
  }
}
