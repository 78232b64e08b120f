/** Following the configuration under a lease. */
package io.pathdeck.serving.config;
