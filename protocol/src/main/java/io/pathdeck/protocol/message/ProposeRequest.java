package io.pathdeck.protocol.message;

import io.pathdeck.protocol.command.Command;

/** Asks a controller to replicate and apply a command. */
public record ProposeRequest(int group, String clientId, long requestId, Command command)
    implements Message {}
