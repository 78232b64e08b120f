/** Placeholder. */
package io.pathdeck.dispatch;
