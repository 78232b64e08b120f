/** The node beside each caller: the callers' API, admission, routing and streams from engines. */
package io.pathdeck.serving;
