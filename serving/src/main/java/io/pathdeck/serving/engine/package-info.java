/** Client for the engines' HTTP protocol. */
package io.pathdeck.serving.engine;
