package io.pathdeck.fleet.member;

/**
 * The progress of a starting process in getting a view of the fleet.
 *
 * @param ageMs how long the phase has lasted
 */
public record StartProgress(Phase phase, long ageMs) {
  /** What the process has received so far. */
  public enum Phase {
    /** No coordinator has sent any state. */
    NO_COORDINATOR,

    /** A coordinator that knows no leader has sent its last-known state. */
    NO_LEADER,

    /** A leader has answered, but its lists are incomplete. */
    LIST_MISSING
  }
}
