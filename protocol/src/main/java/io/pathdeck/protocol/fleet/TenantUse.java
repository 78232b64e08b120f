package io.pathdeck.protocol.fleet;

/**
 * How much a gateway has admitted of a tenant's requests.
 *
 * @param admitted the requests admitted in the window of the limit that ends now
 */
public record TenantUse(String tenant, int admitted) {}
