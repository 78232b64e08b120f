package io.pathdeck.protocol.message;

/** The leading coordinator has taken a notice, and what follows from it is committed. */
public record EngineEndNoted() implements Message {}
