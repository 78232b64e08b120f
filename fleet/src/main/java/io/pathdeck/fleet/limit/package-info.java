/**
 * Rate limits of tenants, enforced by all gateways together.
 *
 * <p>A gateway admits a tenant's requests locally while the fleet is far below the tenant's limit,
 * and otherwise asks the leading coordinator about each request. Heartbeats report what gateways
 * admit. Decisions depend only on the times and events passed in.
 */
package io.pathdeck.fleet.limit;
