package io.pathdeck.serving.api;

import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.serving.config.ConfigurationView;
import io.pathdeck.serving.http.HttpExchange;

/** An authenticated request with its tenant and the configuration at its arrival. */
record CallerContext(HttpExchange exchange, TenantSpec tenant, ConfigurationView configuration) {}
