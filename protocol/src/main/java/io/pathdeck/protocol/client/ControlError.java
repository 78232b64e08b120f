package io.pathdeck.protocol.client;

/** Why the controllers gave no answer. */
public record ControlError(String reason, boolean mayHaveRun) {}
