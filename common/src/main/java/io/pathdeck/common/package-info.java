/** Foundations shared by every module: results, settings, event logs, duties and the blackboard. */
package io.pathdeck.common;
