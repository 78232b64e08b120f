/** Stand-ins for outside systems, the load tool, the simulator and the benchmarks. */
package io.pathdeck.testkit;
