package io.pathdeck.protocol.raft;

/**
 * Sent by a replica that has no membership yet; a bootstrapped receiver answers with its bootstrap
 * configuration.
 *
 * @param address where the other members reach the sender; empty where addresses are settings
 */
public record JoinRequest(
    RaftHeader header,
    boolean bootstrapped,
    GroupConfiguration bootstrapConfiguration,
    String address)
    implements RaftMessage {}
