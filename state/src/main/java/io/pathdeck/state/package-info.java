/** The replicated state machines: declaration (meta group) and jobs (jobs partitions). */
package io.pathdeck.state;
