/** Measurement of the bytes between regions. */
package io.pathdeck.fleet.traffic;
