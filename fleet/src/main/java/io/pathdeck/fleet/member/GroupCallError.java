package io.pathdeck.fleet.member;

/**
 * Error of a call that a group did not answer.
 *
 * @param mayHaveRun whether the command may have taken effect or may still do so
 */
public record GroupCallError(String reason, boolean mayHaveRun) {}
