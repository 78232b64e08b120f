/**
 * Replicated logs: Raft with pre-vote, check-quorum, leader leases, learners and replica
 * incarnations. The protocol does no I/O itself; its caller drives storage and network.
 */
package io.pathdeck.consensus;
