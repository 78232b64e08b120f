/** What the processes of a fleet tell each other: routes, engines, members and batch jobs. */
package io.pathdeck.protocol.fleet;
