package io.pathdeck.protocol.command;

/** Completes a file of {@code chunks} chunks. */
public record SealFile(String fileId, int chunks) implements JobsCommand {}
