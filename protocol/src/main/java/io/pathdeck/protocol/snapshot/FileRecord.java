package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.model.FileView;

/** A file in a snapshot; its chunks follow. */
public record FileRecord(FileView view, int chunks) {}
