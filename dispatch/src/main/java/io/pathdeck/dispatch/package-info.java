/** Dispatcher: runs leased batch items on idle engine capacity and commits their results. */
package io.pathdeck.dispatch;
