package io.pathdeck.serving.api;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.multipart.Attribute;
import io.netty.handler.codec.http.multipart.DefaultHttpDataFactory;
import io.netty.handler.codec.http.multipart.FileUpload;
import io.netty.handler.codec.http.multipart.HttpPostRequestDecoder;
import io.netty.handler.codec.http.multipart.InterfaceHttpData;
import io.pathdeck.common.result.Result;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.io.IOException;

/** The decoded form fields of a file upload. */
record MultipartUpload(String purpose, String filename, byte[] content) {

  /** Decodes a {@code multipart/form-data} body with the fields purpose and file. */
  static Result<MultipartUpload, ApiError> decode(HttpExchange exchange) {
    HttpHeaders headers = exchange.headers();
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            exchange.path(),
            Unpooled.wrappedBuffer(exchange.body()),
            headers,
            headers);
    HttpPostRequestDecoder decoder = null;
    try {
      decoder = new HttpPostRequestDecoder(new DefaultHttpDataFactory(false), request);
      return collect(decoder);
    } catch (HttpPostRequestDecoder.ErrorDataDecoderException
        | HttpPostRequestDecoder.TooManyFormFieldsException
        | IllegalArgumentException
        | IOException e) {
      return Result.err(
          ApiError.invalid("invalid_multipart", "the body is not valid multipart/form-data"));
    } finally {
      if (decoder != null) {
        decoder.destroy();
      }
    }
  }

  private static Result<MultipartUpload, ApiError> collect(HttpPostRequestDecoder decoder)
      throws IOException {
    String purpose = null;
    String filename = "upload";
    byte[] content = null;
    for (InterfaceHttpData part : decoder.getBodyHttpDatas()) {
      if (part instanceof Attribute attribute && part.getName().equals("purpose")) {
        purpose = attribute.getValue();
      } else if (part instanceof FileUpload file && part.getName().equals("file")) {
        filename = file.getFilename();
        content = file.get();
      }
    }
    if (purpose == null || content == null) {
      return Result.err(ApiError.invalid("missing_field", "expected the fields purpose and file"));
    }
    return Result.ok(new MultipartUpload(purpose, filename, content));
  }
}
