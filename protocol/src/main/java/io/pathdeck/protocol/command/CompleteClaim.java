package io.pathdeck.protocol.command;

/** Stores the answer of a claimed request. */
public record CompleteClaim(
    String claimKey, String owner, int status, String contentType, byte[] body)
    implements JobsCommand {}
