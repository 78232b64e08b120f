package io.pathdeck.serving.http;

/**
 * Limits on what callers may send.
 *
 * @param maxBodyBytes the largest body of an ordinary request
 * @param maxUploadBytes the largest body of a file upload
 * @param readTimeoutMs how long a caller may take to send a request, and a connection may be idle
 */
public record HttpLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxUploadBytes,
    int maxConnections,
    int readTimeoutMs) {}
