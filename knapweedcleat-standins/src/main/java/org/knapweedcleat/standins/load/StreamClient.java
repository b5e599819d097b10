package org.knapweedcleat.standins.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.Json;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Sends requests to split services and reads the streamed responses. */
public final class StreamClient {

  private static final int OK_STATUS = 200;
  private static final int MAX_CONNECTIONS = 256;

  private final HttpClient client;

  private StreamClient(HttpClient client) {
    this.client = client;
  }

  /**
   * Creates a client.
   *
   * @param vertx the Vert.x instance to use
   * @return the client
   */
  public static StreamClient of(Vertx vertx) {
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
    return new StreamClient(vertx.createHttpClient(new HttpClientOptions(), pool));
  }

  /**
   * Sends a request and reads its response to the end.
   *
   * @param target the caller address of an instance
   * @param request the request
   * @param onEvent called with the response after each event
   * @return the response as far as it was received; the future never fails
   */
  public Future<StreamedResponse> send(
      SocketAddress target, StreamRequest request, Consumer<StreamedResponse> onEvent) {
    StreamedResponse result = StreamedResponse.of(request);
    return client
        .request(HttpMethod.POST, target.port(), target.hostAddress(), request.path())
        .compose(call -> sendRequest(call, request))
        .compose(response -> readResponse(response, result, onEvent))
        .otherwise(result);
  }

  private static Future<HttpClientResponse> sendRequest(
      HttpClientRequest call, StreamRequest request) {
    call.putHeader("Content-Type", "application/json");
    call.putHeader("Authorization", "Bearer " + request.key());
    request
        .continuation()
        .ifPresent(
            continuation -> {
              call.putHeader("X-Continuation", continuation);
              call.putHeader("X-Next-Position", Integer.toString(request.nextPosition()));
            });
    Body body = new Body(request.prompt(), request.maxTokens(), true);
    return call.send(Json.encodeToBuffer(body));
  }

  private static Future<StreamedResponse> readResponse(
      HttpClientResponse response, StreamedResponse result, Consumer<StreamedResponse> onEvent) {
    result.setStatus(response.statusCode());
    if (response.statusCode() != OK_STATUS) {
      return response.body().onSuccess(result::setErrorBody).map(result);
    }
    Promise<StreamedResponse> completion = Promise.promise();
    RecordParser parser = RecordParser.newDelimited("\n\n", response);
    parser.exceptionHandler(failure -> completion.tryComplete(result));
    parser.endHandler(end -> completion.tryComplete(result));
    parser.handler(
        event -> {
          result.parseEvent(event.toString(), System.nanoTime());
          onEvent.accept(result);
        });
    return completion.future();
  }

  private record Body(String prompt, int maxTokens, boolean stream) {}
}
