package io.pathdeck.fleet.gateway;

import java.util.function.BooleanSupplier;

/**
 * Authorization to send a request to engines.
 *
 * @param caller the identity of the caller
 * @param stillAllowed whether the current configuration allows the request; checked before each
 *     retry and after queueing
 */
record RequestAuthorization(CallerIdentity caller, BooleanSupplier stillAllowed) {}
