package io.pathdeck.fleet.queue;

/**
 * A request that waits to be sent to an engine.
 *
 * @param request what is sent
 * @param tenant whose share of the engines it uses; empty when callers have no tenants
 * @param sinceMs since when it waits
 * @param dueMs when its answer should begin
 * @param holdUntilMs when it is sent although no engine has room
 * @param bytes what it occupies in memory
 * @param work how much of an engine it needs, compared with other requests
 */
public record WaitingRequest<T>(
    T request,
    String tenant,
    Rank rank,
    long sinceMs,
    long dueMs,
    long holdUntilMs,
    long bytes,
    double work) {}
