package io.pathdeck.serving.routing;

/**
 * What routing needs to know of a request.
 *
 * @param prefixHash identifies the prompt's beginning, for engines' prefix caches
 * @param repeatable whether the request may be run again after an attempt that may have run
 */
public record RoutableRequest(
    long requestId,
    String tenant,
    String service,
    long prefixHash,
    boolean repeatable,
    long deadlineMs) {}
