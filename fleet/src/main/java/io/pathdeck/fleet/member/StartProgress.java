package io.pathdeck.fleet.member;

/**
 * How far a starting process has got in obtaining a view of the fleet.
 *
 * @param phase the current phase
 * @param ageMs how long the phase has lasted
 */
public record StartProgress(Phase phase, long ageMs) {
  /** The phases in their usual order. */
  public enum Phase {
    /** No coordinator has sent any state. */
    NO_COORDINATOR,

    /** A coordinator that knows no leader has sent its last-known state. */
    NO_LEADER,

    /** A leader has answered, but its lists are incomplete. */
    LIST_MISSING
  }
}
