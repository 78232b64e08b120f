/**
 * A deterministic simulation of a whole fleet. The duties of production run on virtual time,
 * network, disks and engines that all follow from one seed; an oracle that knows only what callers
 * and engines saw checks the promises.
 */
package io.pathdeck.testkit.sim;
