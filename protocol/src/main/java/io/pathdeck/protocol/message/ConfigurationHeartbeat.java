package io.pathdeck.protocol.message;

/** A process reports the configuration it runs on and asks for its lease and for news. */
public record ConfigurationHeartbeat(String processId, String role, long version, long digest)
    implements Message {}
