/** The command line: starts a role, or drives a fleet as an operator. */
package io.pathdeck.cli;
