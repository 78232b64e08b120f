package io.pathdeck.protocol.command;

/** The caller holds the claim and may run the request. */
public record ClaimGranted() implements CommandResult {}
