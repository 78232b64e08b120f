/** Calls to engines by their published HTTP protocol. */
package io.pathdeck.serving.engine;
