package io.pathdeck.protocol.message;

import io.pathdeck.protocol.model.DeclarationDelta;

/**
 * The configuration in force and its lease. The delta leads from {@code fromVersion} to {@code
 * version}; from version 0 it is the whole declaration; it is null for a process that is up to
 * date.
 */
public record ConfigurationUpdate(
    long version,
    long digest,
    long fromVersion,
    DeclarationDelta delta,
    int partitions,
    int liveNodes,
    long leaseMs)
    implements Message {}
