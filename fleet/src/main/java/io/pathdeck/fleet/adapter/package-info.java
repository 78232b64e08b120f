/**
 * The protocols of callers, engines, operators, the directory and the list of engines. An adapter
 * only translates between wire formats and requests; its users decide.
 */
package io.pathdeck.fleet.adapter;
