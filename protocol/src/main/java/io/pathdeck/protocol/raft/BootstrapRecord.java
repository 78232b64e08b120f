package io.pathdeck.protocol.raft;

/** The configuration a replica started its group with. */
public record BootstrapRecord(int group, GroupConfiguration configuration) implements LogRecord {}
