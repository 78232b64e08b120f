/**
 * Limits on the requests of tenants, held by all gateways together.
 *
 * <p>A gateway admits a tenant's requests by itself while the fleet as a whole is far below the
 * tenant's limit, and asks the leading coordinator for each request when it is not. What gateways
 * admit is told with their heartbeats. Decisions are pure: time and events in, decisions out.
 */
package io.pathdeck.fleet.limit;
