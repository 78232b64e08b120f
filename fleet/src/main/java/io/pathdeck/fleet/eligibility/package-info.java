/** Decides which engines may get a request. */
package io.pathdeck.fleet.eligibility;
