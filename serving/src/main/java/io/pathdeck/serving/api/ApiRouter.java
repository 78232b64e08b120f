package io.pathdeck.serving.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.serving.config.ConfigurationFollower;
import io.pathdeck.serving.config.ConfigurationView;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.http.Json;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Authenticates requests and routes them to the handler for their path. */
public final class ApiRouter {
  private static final int OK = 200;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final Pattern FILE = Pattern.compile("/v1/files/([^/]+)");
  private static final Pattern FILE_CONTENT = Pattern.compile("/v1/files/([^/]+)/content");
  private static final Pattern BATCH = Pattern.compile("/v1/batches/([^/]+)");
  private static final Pattern BATCH_CANCEL = Pattern.compile("/v1/batches/([^/]+)/cancel");
  private static final Pattern MODEL = Pattern.compile("/v1/models/([^/]+)");

  private final ConfigurationFollower configuration;
  private final CompletionApi completions;
  private final FilesApi files;
  private final BatchesApi batches;

  ApiRouter(
      ConfigurationFollower configuration,
      CompletionApi completions,
      FilesApi files,
      BatchesApi batches) {
    this.configuration = configuration;
    this.completions = completions;
    this.files = files;
    this.batches = batches;
  }

  public void handle(HttpExchange exchange) {
    if (!configuration.hasLease()) {
      exchange.sendError(ApiErrors.configurationLapsed());
      return;
    }
    ConfigurationView view = configuration.section().read();
    Optional<TenantSpec> tenant = Authenticator.authenticate(exchange.headers(), view);
    if (tenant.isEmpty()) {
      exchange.sendError(ApiError.unauthorized());
      return;
    }
    route(new CallerContext(exchange, tenant.get(), view));
  }

  private void route(CallerContext caller) {
    String path = caller.exchange().path();
    boolean post = caller.exchange().method().equals(HttpMethod.POST);
    boolean get = caller.exchange().method().equals(HttpMethod.GET);
    if (!post && !get) {
      sendMethodNotAllowed(caller.exchange());
    } else if (GenerationRequest.isGenerationPath(path)) {
      runIfAllowed(post, caller, () -> completions.handle(caller));
    } else if (path.startsWith("/v1/models")) {
      runIfAllowed(get, caller, () -> routeModels(caller, path));
    } else if (path.startsWith("/v1/files")) {
      routeFiles(caller, path, post);
    } else if (path.startsWith("/v1/batches")) {
      routeBatches(caller, path, post);
    } else {
      sendNotFound(caller.exchange());
    }
  }

  private static void runIfAllowed(boolean allowed, CallerContext caller, Runnable action) {
    if (allowed) {
      action.run();
    } else {
      sendMethodNotAllowed(caller.exchange());
    }
  }

  private void routeFiles(CallerContext caller, String path, boolean post) {
    Matcher file = FILE.matcher(path);
    Matcher content = FILE_CONTENT.matcher(path);
    if (path.equals("/v1/files")) {
      runIfAllowed(post, caller, () -> files.upload(caller));
    } else if (content.matches()) {
      runIfAllowed(!post, caller, () -> files.download(caller, id(content)));
    } else if (file.matches()) {
      runIfAllowed(!post, caller, () -> files.get(caller, id(file)));
    } else {
      sendNotFound(caller.exchange());
    }
  }

  private void routeBatches(CallerContext caller, String path, boolean post) {
    Matcher batch = BATCH.matcher(path);
    Matcher cancel = BATCH_CANCEL.matcher(path);
    if (path.equals("/v1/batches")) {
      if (post) {
        batches.create(caller);
      } else {
        batches.list(caller);
      }
    } else if (cancel.matches()) {
      runIfAllowed(post, caller, () -> batches.cancel(caller, id(cancel)));
    } else if (batch.matches()) {
      runIfAllowed(!post, caller, () -> batches.get(caller, id(batch)));
    } else {
      sendNotFound(caller.exchange());
    }
  }

  private static String id(Matcher path) {
    return HttpExchange.decode(path.group(1));
  }

  private static void routeModels(CallerContext caller, String path) {
    Matcher model = MODEL.matcher(path);
    if (path.equals("/v1/models")) {
      ObjectNode list = Json.object();
      list.put("object", "list");
      ArrayNode data = list.putArray("data");
      caller.configuration().services().forEach(service -> data.add(modelJson(service)));
      caller.exchange().sendJson(OK, Json.encode(list));
    } else if (model.matches()) {
      Optional<ServiceSpec> service = caller.configuration().serviceByModel(id(model));
      if (service.isPresent()) {
        caller.exchange().sendJson(OK, Json.encode(modelJson(service.get())));
      } else {
        caller.exchange().sendError(ApiError.notFound("model_not_found", "no model " + id(model)));
      }
    } else {
      sendNotFound(caller.exchange());
    }
  }

  private static ObjectNode modelJson(ServiceSpec service) {
    ObjectNode json = Json.object();
    json.put("id", service.model());
    json.put("object", "model");
    json.put("created", 0);
    json.put("owned_by", service.name());
    return json;
  }

  private static void sendNotFound(HttpExchange exchange) {
    exchange.sendError(ApiError.notFound("not_found", "no such path"));
  }

  private static void sendMethodNotAllowed(HttpExchange exchange) {
    exchange.sendError(
        new ApiError(
            METHOD_NOT_ALLOWED,
            "invalid_request_error",
            "method_not_allowed",
            "the method is not allowed here",
            true,
            0));
  }
}
