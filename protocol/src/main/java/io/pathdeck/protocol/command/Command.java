package io.pathdeck.protocol.command;

/** A command for a replicated state machine. */
public sealed interface Command permits MetaCommand, JobsCommand, FleetCommand, BatchCommand {}
