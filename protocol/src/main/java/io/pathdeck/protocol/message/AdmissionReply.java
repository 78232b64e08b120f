package io.pathdeck.protocol.message;

/** Whether a gateway may admit the request that it asked for. */
public record AdmissionReply(boolean admitted) implements Message {}
