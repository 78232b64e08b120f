package io.pathdeck.fleet.member;

/**
 * Error of an unanswered call to a group.
 *
 * @param mayHaveRun whether the command may have taken effect or may still do so
 */
public record GroupCallError(String reason, boolean mayHaveRun) {}
