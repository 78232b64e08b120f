package io.pathdeck.protocol.message;

/**
 * A gateway asks whether it may admit one request of a contended tenant.
 *
 * @param gateway the gateway's name
 * @param life tells one life of the gateway's process from another
 */
public record AdmissionRequest(String gateway, long life, String tenant) implements Message {}
