package io.pathdeck.protocol.model;

import java.util.List;

/** A tenant as declared: its share, the hashes of its keys and its limits. */
public record TenantSpec(
    String name,
    int weight,
    List<String> keyHashes,
    int maxConcurrentRequests,
    int requestsPerSecond) {}
