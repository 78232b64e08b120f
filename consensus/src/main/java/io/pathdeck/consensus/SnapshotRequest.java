package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.Member;

/** A request to read the chunk of the newest snapshot at {@code offset} and send it to a member. */
public record SnapshotRequest(Member member, long offset) {}
