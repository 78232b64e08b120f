package io.pathdeck.consensus;

import java.util.List;

/**
 * A snapshot received from the leader, to be stored and restored.
 *
 * @param parts the content in order, as it was received
 */
public record SnapshotInstall(SnapshotMetadata metadata, List<byte[]> parts) {}
