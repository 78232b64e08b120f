package io.pathdeck.protocol.message;

/**
 * The answer to a {@link TrialRequest}.
 *
 * @param granted whether the asking process, and no other one, may send one request now
 */
public record TrialReply(boolean granted) implements Message {}
