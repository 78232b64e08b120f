package io.pathdeck.serving.routing;

/**
 * The properties of a request that determine its routing.
 *
 * @param prefixHash the hash of the prompt's beginning, for affinity to engines' prefix caches
 * @param repeatable whether a retry is allowed after an attempt that may have run
 */
public record RoutableRequest(
    long requestId,
    String tenant,
    String service,
    long prefixHash,
    boolean repeatable,
    long deadlineMs) {}
