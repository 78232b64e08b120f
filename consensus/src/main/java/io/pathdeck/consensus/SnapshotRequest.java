package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.Member;

/** A request to send a member the chunk at {@code offset} of the newest snapshot. */
public record SnapshotRequest(Member member, long offset) {}
