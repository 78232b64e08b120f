/** Limits what all gateways together send to engines that have just started. */
package io.pathdeck.fleet.warmup;
