package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.FileView;

/** The file as it stands. */
public record FileStored(FileView file) implements CommandResult {}
