package io.pathdeck.protocol.query;

import io.pathdeck.protocol.model.Declaration;

/** The declaration and its version. */
public record DeclarationResult(long version, Declaration declaration) implements QueryResult {}
