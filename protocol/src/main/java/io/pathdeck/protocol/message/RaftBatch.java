package io.pathdeck.protocol.message;

import io.pathdeck.protocol.raft.RaftMessage;
import java.util.List;

/** Consensus messages of all groups from one controller to another. */
public record RaftBatch(List<RaftMessage> messages) implements Message {}
