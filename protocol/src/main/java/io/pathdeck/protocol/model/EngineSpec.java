package io.pathdeck.protocol.model;

/** An engine as declared: where it listens, which service it runs and whether it is draining. */
public record EngineSpec(
    String name, String address, String zone, String service, int batchSlots, boolean draining) {}
