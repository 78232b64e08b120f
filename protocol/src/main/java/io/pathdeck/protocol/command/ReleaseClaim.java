package io.pathdeck.protocol.command;

/** Gives a claim back because the request was certainly not run. */
public record ReleaseClaim(String claimKey, String owner) implements JobsCommand {}
