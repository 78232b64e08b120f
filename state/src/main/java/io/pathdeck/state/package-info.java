/**
 * The replicated state machines: declarations, jobs partitions, fleet configuration and batch jobs.
 */
package io.pathdeck.state;
