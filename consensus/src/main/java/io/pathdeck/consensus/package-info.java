/**
 * Replicated logs: a Raft-family protocol with pre-vote, check-quorum, leader leases, learners and
 * replica incarnations. The protocol is pure; storage and network are driven from outside.
 */
package io.pathdeck.consensus;
