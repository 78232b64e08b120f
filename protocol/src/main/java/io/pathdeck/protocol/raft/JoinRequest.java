package io.pathdeck.protocol.raft;

/**
 * Sent by a replica that has no membership yet; a bootstrapped receiver answers with its bootstrap
 * configuration.
 */
public record JoinRequest(
    RaftHeader header, boolean bootstrapped, GroupConfiguration bootstrapConfiguration)
    implements RaftMessage {}
