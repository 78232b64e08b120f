/** Durable storage of replicated logs: one segmented log per process and snapshot files. */
package io.pathdeck.consensus.storage;
