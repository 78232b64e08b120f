package io.pathdeck.protocol.snapshot;

import java.util.List;

/** A chunk of lines of a file in a snapshot. */
public record FileChunkRecord(String fileId, int chunkIndex, List<byte[]> lines) {}
