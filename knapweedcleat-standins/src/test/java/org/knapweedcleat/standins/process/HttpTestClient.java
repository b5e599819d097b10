package org.knapweedcleat.standins.process;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Sends blocking calls with short responses. */
final class HttpTestClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private HttpTestClient() {}

  static Response get(int port, String path) {
    return send("GET", port, path, "");
  }

  /** Sends a call with alternating header names and values. Status 0 means a failed connection. */
  static Response send(String method, int port, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(TIMEOUT)
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Response(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Response(0, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  record Response(int status, String text) {

    JsonObject json() {
      return new JsonObject(text);
    }
  }
}
