package io.pathdeck.fleet.member;

/**
 * Error of a call that the leader of a group did not answer in time.
 *
 * @param reason why the last attempt failed
 * @param mayHaveRun whether the command may have taken effect or may still do so
 */
public record GroupCallError(String reason, boolean mayHaveRun) {}
