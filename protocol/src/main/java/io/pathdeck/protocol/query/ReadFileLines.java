package io.pathdeck.protocol.query;

/** Reads lines of a file from {@code fromLine} on. */
public record ReadFileLines(String fileId, String tenant, int fromLine, int maxBytes)
    implements Query {}
