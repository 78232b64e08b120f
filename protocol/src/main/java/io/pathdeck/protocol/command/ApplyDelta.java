package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.DeclarationDelta;

/** Changes the declaration when {@code expectedVersion} is the current one. */
public record ApplyDelta(long expectedVersion, DeclarationDelta delta) implements MetaCommand {}
