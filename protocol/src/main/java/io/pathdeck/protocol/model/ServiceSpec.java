package io.pathdeck.protocol.model;

/** A service as declared: the model it serves and its weight among services. */
public record ServiceSpec(String name, String model, int weight) {}
