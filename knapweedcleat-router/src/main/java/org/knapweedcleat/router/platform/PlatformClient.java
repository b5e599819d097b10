package org.knapweedcleat.router.platform;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.membership.ListedInstance;
import org.knapweedcleat.router.http.HttpClients;

/** HTTP client of the platform. Each call is counted; a long poll counts as one call. */
public final class PlatformClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 2000;
  private static final int RESPONSE_GRACE_MILLIS = 5000;
  private static final int HTTP_OK = 200;
  private static final int HTTP_NO_CONTENT = 204;
  private static final int HTTP_NOT_FOUND = 404;

  private final WebClient client;
  private final String host;
  private final int port;
  private final MetricRegistry metrics;
  private final ObjectMapper json =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private PlatformClient(WebClient client, String host, int port, MetricRegistry metrics) {
    this.client = client;
    this.host = host;
    this.port = port;
    this.metrics = metrics;
  }

  /**
   * Returns a client.
   *
   * @param vertx the Vert.x instance that runs the HTTP client
   * @param host the platform's IP address
   * @param port the platform's TCP port
   * @param metrics counts calls and failures
   * @return the client
   */
  public static PlatformClient create(Vertx vertx, String host, int port, MetricRegistry metrics) {
    WebClientOptions options = new WebClientOptions();
    options.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    options.setFollowRedirects(false);
    return new PlatformClient(
        HttpClients.createWebClientWithoutReuse(vertx, options), host, port, metrics);
  }

  /**
   * Reads a text value if it is newer than a revision.
   *
   * @param name the value's name
   * @param after the latest known revision
   * @param waitMillis how long the platform may wait for a newer one, 0 to respond immediately
   * @return the value, empty if there is no newer one; fails with {@link PlatformException}
   */
  public Future<Optional<PublishedValue<String>>> readValue(
      String name, Revision after, long waitMillis) {
    return httpGet("/v1/values/" + name, after, waitMillis)
        .map(
            optionalResponse ->
                optionalResponse.map(
                    response -> toPublishedValue(response, response.bodyAsString())));
  }

  /**
   * Reads the list of instances if it is newer than a revision.
   *
   * @param after the latest known revision
   * @param waitMillis how long the platform may wait for a newer one, 0 to respond immediately
   * @return the list, empty if there is no newer one; fails with {@link PlatformException}
   */
  public Future<Optional<PublishedValue<List<ListedInstance>>>> readInstances(
      Revision after, long waitMillis) {
    return httpGet("/v1/instances", after, waitMillis)
        .map(
            optionalResponse ->
                optionalResponse.map(
                    response ->
                        toPublishedValue(response, parseInstances(response.bodyAsBuffer()))));
  }

  /** Closes all connections. */
  public void close() {
    client.close();
  }

  private Future<Optional<HttpResponse<Buffer>>> httpGet(
      String path, Revision after, long waitMillis) {
    metrics.counter("platform.calls").inc();
    return client
        .get(port, host, path)
        .addQueryParam("after", after.toString())
        .addQueryParam("waitMillis", Long.toString(waitMillis))
        .timeout(waitMillis + RESPONSE_GRACE_MILLIS)
        .send()
        .recover(cause -> fail(PlatformException.of(PlatformFault.UNREACHABLE, cause)))
        .compose(this::checkStatus);
  }

  private Future<Optional<HttpResponse<Buffer>>> checkStatus(HttpResponse<Buffer> response) {
    return switch (response.statusCode()) {
      case HTTP_OK -> Future.succeededFuture(Optional.of(response));
      case HTTP_NO_CONTENT -> Future.succeededFuture(Optional.empty());
      case HTTP_NOT_FOUND -> fail(PlatformException.of(PlatformFault.NOT_PUBLISHED));
      default -> fail(PlatformException.of(PlatformFault.BAD_STATUS));
    };
  }

  private <T> Future<T> fail(PlatformException exception) {
    metrics.counter(exception.fault().metricName()).inc();
    return Future.failedFuture(exception);
  }

  private static <T> PublishedValue<T> toPublishedValue(HttpResponse<Buffer> response, T value) {
    try {
      long number = Long.parseLong(response.getHeader("X-Revision"));
      return new PublishedValue<>(Revision.of(number), value);
    } catch (IllegalArgumentException e) {
      throw PlatformException.of(PlatformFault.BAD_ANSWER, e);
    }
  }

  private List<ListedInstance> parseInstances(Buffer body) {
    try {
      InstanceList list = json.readValue(body.getBytes(), InstanceList.class);
      return list.instances().stream().map(ListEntry::toInstance).toList();
    } catch (IOException | RuntimeException e) {
      throw PlatformException.of(PlatformFault.BAD_ANSWER, e);
    }
  }

  private record InstanceList(List<ListEntry> instances) {}

  private record ListEntry(String id, String domain, String host, int peerPort, String state) {
    ListedInstance toInstance() {
      return new ListedInstance(
          InstanceId.of(id), FailureDomainId.of(domain), host, peerPort, state.equals("LEAVING"));
    }
  }
}
