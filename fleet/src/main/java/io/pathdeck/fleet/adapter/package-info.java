/**
 * The protocols of callers, engines, operators, the directory and the list of engines. An adapter
 * defines names, formats and calls; the code that calls it makes all decisions.
 */
package io.pathdeck.fleet.adapter;
