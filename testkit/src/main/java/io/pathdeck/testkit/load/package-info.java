/** The load tool: callers that check every answer. */
package io.pathdeck.testkit.load;
