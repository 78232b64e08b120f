/** The emulated model engine, by the engines' published protocol. */
package io.pathdeck.testkit.engine;
