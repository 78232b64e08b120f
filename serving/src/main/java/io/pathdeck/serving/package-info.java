/** Placeholder. */
package io.pathdeck.serving;
