package io.pathdeck.protocol.raft;

/** A replica in a group: a controller under one incarnation of its data folder. */
public record Member(int id, long incarnation, boolean voter) {}
