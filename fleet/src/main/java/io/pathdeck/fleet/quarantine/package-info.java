/** Detects requests that crash engines and keeps them from reaching other engines. */
package io.pathdeck.fleet.quarantine;
