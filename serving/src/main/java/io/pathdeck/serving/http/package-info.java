/** The HTTP server of the node, over Netty. */
package io.pathdeck.serving.http;
