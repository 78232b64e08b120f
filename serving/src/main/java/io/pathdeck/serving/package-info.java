/** Serving node: the public API, admission control, routing and response streaming. */
package io.pathdeck.serving;
