package io.pathdeck.fleet.member;

/**
 * How far a process that starts has come in learning the fleet.
 *
 * @param ageMs how long it has been that far
 */
public record StartProgress(Phase phase, long ageMs) {
  /** What was heard so far. */
  public enum Phase {
    /** No coordinator has told anything. */
    NO_COORDINATOR,

    /** A coordinator has answered that knows no leader. */
    NO_LEADER,

    /** A leader has answered; what it did not know yet is missing. */
    LIST_MISSING
  }
}
