/**
 * The calls under way that the gateways of a zone tell each other, so that each chooses engines by
 * what all of them have sent. Nothing here is durable, and nothing waits for it.
 */
package io.pathdeck.fleet.load;
