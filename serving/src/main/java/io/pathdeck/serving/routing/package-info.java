/** Admission, routing and retries as pure decisions. */
package io.pathdeck.serving.routing;
