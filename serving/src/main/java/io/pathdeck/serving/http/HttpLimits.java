package io.pathdeck.serving.http;

/**
 * Limits for connections and requests.
 *
 * @param maxBodyBytes the maximum body size, except for file uploads
 * @param maxUploadBytes the maximum body size of a file upload
 * @param readTimeoutMs the maximum time to send a request, also for idle connections
 */
public record HttpLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxUploadBytes,
    int maxConnections,
    int readTimeoutMs) {}
