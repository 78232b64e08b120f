package io.pathdeck.fleet.member;

import java.util.List;

/**
 * Maps batch jobs to jobs groups.
 *
 * <p>The number of groups is fixed when they are founded, so that a job always maps to the group
 * that accepted it.
 */
public final class JobsPlacement {
  private JobsPlacement() {}

  /**
   * Returns the number of the job's group, from 1.
   *
   * @param jobId the id of the job
   * @param groups the number of groups, at least one
   */
  public static int groupOf(String jobId, int groups) {
    return 1 + Math.floorMod(mixBits(jobId.hashCode()), groups);
  }

  /**
   * Returns the group of a job that only some groups may store: the one of all groups if it may,
   * else one of those that may.
   *
   * @param jobId the id of the job
   * @param groups the number of all groups, at least one
   * @param permitted the numbers of the groups that may store it, ascending; at least one
   */
  public static int groupOf(String jobId, int groups, List<Integer> permitted) {
    int group = groupOf(jobId, groups);
    return permitted.contains(group) ? group : permitted.get(groupOf(jobId, permitted.size()) - 1);
  }

  /** Spreads hash codes with similar low bits (the finalizer of MurmurHash3). */
  private static int mixBits(int hash) {
    int mixed = hash ^ (hash >>> 16);
    mixed *= 0x85ebca6b;
    mixed ^= mixed >>> 13;
    mixed *= 0xc2b2ae35;
    return mixed ^ (mixed >>> 16);
  }
}
