package io.pathdeck.protocol.command;

import java.util.List;

/** Adds a chunk of lines to an open file; a chunk already present is ignored. */
public record AppendFileChunk(String fileId, int chunkIndex, List<byte[]> lines)
    implements JobsCommand {}
