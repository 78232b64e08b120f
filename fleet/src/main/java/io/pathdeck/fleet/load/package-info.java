/**
 * Exchange of in-flight call counts between the gateways of a zone, so that each chooses engines by
 * the calls of all. Counts are not durable, and no request waits for them.
 */
package io.pathdeck.fleet.load;
