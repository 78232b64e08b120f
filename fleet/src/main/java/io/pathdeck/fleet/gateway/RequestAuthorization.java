package io.pathdeck.fleet.gateway;

import java.util.function.BooleanSupplier;

/**
 * What lets a request be sent to engines.
 *
 * @param caller who sent the request
 * @param stillAllowed whether the newest configuration allows the request; asked before each send
 *     after the first one, and after a wait
 */
record RequestAuthorization(CallerIdentity caller, BooleanSupplier stillAllowed) {}
