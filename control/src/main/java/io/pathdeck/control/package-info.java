/** The controller process: replicated groups, configuration and the operators' API. */
package io.pathdeck.control;
