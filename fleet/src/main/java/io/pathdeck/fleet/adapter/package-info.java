/**
 * The protocols of callers, engines, operators, the directory and the list of engines. An adapter
 * defines names, formats and calls; all decisions are made by the code that calls it.
 */
package io.pathdeck.fleet.adapter;
