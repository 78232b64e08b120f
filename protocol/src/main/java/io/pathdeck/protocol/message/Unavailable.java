package io.pathdeck.protocol.message;

/** The controller cannot answer now; a command may have been applied when {@code mayHaveRun}. */
public record Unavailable(String reason, boolean mayHaveRun) implements Message {}
