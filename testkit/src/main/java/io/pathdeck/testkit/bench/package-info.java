/** Measurements of parts of the system beside baselines. */
package io.pathdeck.testkit.bench;
