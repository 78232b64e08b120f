package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.model.Declaration;

/** The declaration in a snapshot of the meta group. */
public record MetaRecord(long clockMs, long version, Declaration declaration) {}
