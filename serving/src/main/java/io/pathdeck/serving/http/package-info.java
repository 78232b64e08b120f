/** HTTP server based on Netty. */
package io.pathdeck.serving.http;
