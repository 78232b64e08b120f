package io.pathdeck.protocol.query;

import io.pathdeck.protocol.model.FileView;

/** One file. */
public record FileResult(FileView file) implements QueryResult {}
