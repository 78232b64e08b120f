package io.pathdeck.protocol.query;

/** Reads the declaration. */
public record ReadDeclaration() implements Query {}
