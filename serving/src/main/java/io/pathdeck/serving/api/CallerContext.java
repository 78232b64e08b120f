package io.pathdeck.serving.api;

import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.serving.config.ConfigurationView;
import io.pathdeck.serving.http.HttpExchange;

/** An authenticated request and the configuration it is judged by. */
record CallerContext(HttpExchange exchange, TenantSpec tenant, ConfigurationView configuration) {}
