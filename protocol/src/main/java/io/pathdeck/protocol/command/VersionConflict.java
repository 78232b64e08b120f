package io.pathdeck.protocol.command;

/** The expected version is not the current one. */
public record VersionConflict(long currentVersion) implements CommandResult {}
