package io.pathdeck.protocol.command;

/** A store is to be emptied. */
public record SetStoreLeaving(String name, int memberId) implements FleetCommand {}
