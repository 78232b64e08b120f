package io.pathdeck.protocol.command;

/** The value bound to the key and the fingerprint it was bound with. */
public record KeyReserved(String value, String fingerprint, boolean created)
    implements CommandResult {}
