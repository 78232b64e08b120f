/** Placeholder. */
package io.pathdeck.testkit;
