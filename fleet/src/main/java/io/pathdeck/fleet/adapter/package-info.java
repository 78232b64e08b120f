/**
 * What the fleet needs translated: the languages of callers, engines, operators and of the list of
 * engines. An adapter holds names, formats and calls; every decision is made by its callers.
 */
package io.pathdeck.fleet.adapter;
