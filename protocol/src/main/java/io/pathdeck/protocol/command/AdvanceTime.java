package io.pathdeck.protocol.command;

/** Lets the time of a partition pass, so that leases expire although nobody sends commands. */
public record AdvanceTime() implements JobsCommand {}
