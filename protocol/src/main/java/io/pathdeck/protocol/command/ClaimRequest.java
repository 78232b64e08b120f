package io.pathdeck.protocol.command;

/** Claims the only run of a request that must not run twice. */
public record ClaimRequest(String claimKey, String tenant, String fingerprint, String owner)
    implements JobsCommand {}
