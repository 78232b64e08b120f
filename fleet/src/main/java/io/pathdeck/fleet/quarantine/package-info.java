/** Finds requests under which engines end, and keeps them from reaching more. */
package io.pathdeck.fleet.quarantine;
