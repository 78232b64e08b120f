/** Leased configuration, updated from the controllers. */
package io.pathdeck.serving.config;
