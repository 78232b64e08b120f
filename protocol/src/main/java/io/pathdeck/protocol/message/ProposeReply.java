package io.pathdeck.protocol.message;

import io.pathdeck.protocol.command.CommandResult;

/** The result of an applied command. */
public record ProposeReply(CommandResult result) implements Message {}
