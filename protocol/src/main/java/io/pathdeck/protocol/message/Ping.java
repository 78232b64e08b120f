package io.pathdeck.protocol.message;

/** Asks the other end of a connection for a sign of life; answered by the transport. */
public record Ping() implements Message {}
