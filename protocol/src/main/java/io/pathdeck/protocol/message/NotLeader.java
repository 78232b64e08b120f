package io.pathdeck.protocol.message;

/** The controller does not lead the group; -1 when it knows no leader. */
public record NotLeader(int leaderId) implements Message {}
