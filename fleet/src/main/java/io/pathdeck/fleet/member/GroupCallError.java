package io.pathdeck.fleet.member;

/**
 * Why a group gave no answer.
 *
 * @param mayHaveRun whether the command may have taken effect or may yet do so
 */
public record GroupCallError(String reason, boolean mayHaveRun) {}
