import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets, for stand-ins that must see exactly what is on the wire. */
final class Http {
  private Http() {}

  /** The first line and the headers, with names in lower case; null at the end of the input. */
  record Head(String line, Map<String, String> headers) {}

  /**
   * An answer as its client sees it.
   *
   * @param status 0 when no head came
   * @param complete whether the answer ended as its head says
   */
  record Answer(int status, Map<String, String> headers, String body, boolean complete, String end) {}

  static Head readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String next = readLine(in); next != null && !next.isEmpty(); next = readLine(in)) {
      int colon = next.indexOf(':');
      headers.put(
          next.substring(0, colon).trim().toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
    }
    return new Head(line, headers);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        String text = line.toString(StandardCharsets.UTF_8);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    return line.size() == 0 ? null : line.toString(StandardCharsets.UTF_8);
  }

  static Socket connect(String address, int timeoutMs) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        timeoutMs);
    socket.setSoTimeout(timeoutMs);
    return socket;
  }

  /** Makes one call on a connection of its own. */
  static Answer call(
      String address,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      int timeoutMs) {
    int status = 0;
    Map<String, String> answered = Map.of();
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    try (Socket socket = connect(address, timeoutMs)) {
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      OutputStream out = socket.getOutputStream();
      out.write(head.toString().getBytes(StandardCharsets.UTF_8));
      out.write(body);
      out.flush();
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      Head read = readHead(in);
      if (read == null) {
        return new Answer(0, answered, "", false, "closed without an answer");
      }
      status = Integer.parseInt(read.line().split(" ")[1]);
      answered = read.headers();
      boolean complete = readBody(in, read, content);
      return new Answer(
          status, answered, content.toString(StandardCharsets.UTF_8), complete, complete ? "whole" : "broken off");
    } catch (IOException e) {
      return new Answer(
          status, answered, content.toString(StandardCharsets.UTF_8), false, String.valueOf(e.getMessage()));
    }
  }

  /** Reads a body with a length or in chunks; returns whether it came to its end. */
  private static boolean readBody(InputStream in, Head head, ByteArrayOutputStream content)
      throws IOException {
    if (head.headers().getOrDefault("transfer-encoding", "").equals("chunked")) {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          return false;
        }
        int length = Integer.parseInt(size.trim(), 16);
        if (length == 0) {
          return readLine(in) != null;
        }
        byte[] chunk = in.readNBytes(length);
        content.write(chunk);
        if (chunk.length < length || readLine(in) == null) {
          return false;
        }
      }
    }
    int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
    byte[] whole = in.readNBytes(length);
    content.write(whole);
    return whole.length == length;
  }

  /** Reads the body of a request with a length. */
  static byte[] readRequestBody(InputStream in, Head head) throws IOException {
    int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the body broke off");
    }
    return body;
  }
}
