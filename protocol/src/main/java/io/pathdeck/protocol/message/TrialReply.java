package io.pathdeck.protocol.message;

/**
 * The answer to a {@link TrialRequest} or {@link TrialNotice}.
 *
 * @param granted whether the asking process, and no other one, may send one request now; for a
 *     state after that, whether the leader has taken note of it
 */
public record TrialReply(boolean granted) implements Message {}
