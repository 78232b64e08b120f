package io.pathdeck.protocol.raft;

/** Sender, receiver and term of a consensus message. */
public record RaftHeader(
    int group, int from, long fromIncarnation, int to, long toIncarnation, long term) {}
