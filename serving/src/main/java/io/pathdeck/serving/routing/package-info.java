/** Pure decision logic for admission, routing and retries. */
package io.pathdeck.serving.routing;
