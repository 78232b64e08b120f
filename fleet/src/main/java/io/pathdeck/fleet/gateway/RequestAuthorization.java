package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.topology.AllowedRegions;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Authorization to send a request to engines.
 *
 * @param caller the identity of the caller
 * @param stillAllowed whether the current configuration allows the request; checked before each
 *     retry and after queueing
 * @param allowedRegions the regions that the current configuration allows for the request
 */
record RequestAuthorization(
    CallerIdentity caller, BooleanSupplier stillAllowed, Supplier<AllowedRegions> allowedRegions) {}
