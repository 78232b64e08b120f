/** Placeholder. */
package io.pathdeck.cli;
