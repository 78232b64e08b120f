package io.pathdeck.protocol.command;

/** Opens a file for chunks of lines. */
public record CreateFile(String fileId, String tenant, String filename, String purpose)
    implements JobsCommand {}
