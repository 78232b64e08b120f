package io.pathdeck.protocol.command;

/** Marks an engine as draining or takes the mark back. */
public record SetEngineDraining(String engine, boolean draining) implements MetaCommand {}
