package io.pathdeck.fleet.member;

import java.util.List;

/**
 * Error of a call that the leader of a group did not answer in time.
 *
 * @param reason why the last attempt failed
 * @param mayHaveRun whether the command may have taken effect or may still do so
 * @param cause the kind of failure of the last attempt
 * @param askedMembers the addresses that were asked, in order and each once
 */
public record GroupCallError(
    String reason, boolean mayHaveRun, Cause cause, List<String> askedMembers) {
  /** The kinds of failures of an attempt. */
  public enum Cause {
    /** No address of a member is known. */
    NO_MEMBER_KNOWN,
    /** The member does not lead and knows no leader, or names one that does not lead either. */
    NO_LEADER,
    /** The leader could not answer yet. */
    LEADER_UNAVAILABLE,
    /** The member was not reached or did not answer in time. */
    UNREACHABLE
  }

  public GroupCallError {
    askedMembers = List.copyOf(askedMembers);
  }
}
