/** Zones, regions, and where requests may be served. */
package io.pathdeck.fleet.topology;
