package io.pathdeck.protocol.command;

import java.util.List;

/** The declaration was accepted under this version. */
public record DeclarationApplied(long version, List<String> changes) implements CommandResult {}
