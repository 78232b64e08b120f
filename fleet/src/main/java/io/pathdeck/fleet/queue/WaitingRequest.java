package io.pathdeck.fleet.queue;

/**
 * A request that waits to be sent to an engine.
 *
 * @param request key of the request in the queue
 * @param tenant the tenant that is charged for it; empty if callers have no tenants
 * @param rank its urgency
 * @param waitingSinceMs when it began to wait
 * @param dueMs when its response should begin
 * @param holdUntilMs when it is sent even if no engine has a free slot
 * @param bytes its size in memory
 * @param work its cost for an engine, relative to other requests
 */
public record WaitingRequest<T>(
    T request,
    String tenant,
    Rank rank,
    long waitingSinceMs,
    long dueMs,
    long holdUntilMs,
    long bytes,
    double work) {}
