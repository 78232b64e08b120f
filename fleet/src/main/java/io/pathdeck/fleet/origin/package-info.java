/**
 * Knowledge of where streams began, so that a caller that returns, also to another gateway, goes on
 * at the software version that began its stream.
 */
package io.pathdeck.fleet.origin;
