package io.pathdeck.protocol.query;

/** Reads a file with no content. */
public record ReadFile(String fileId, String tenant) implements Query {}
