package org.knapweedcleat.router.forward.http;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.knapweedcleat.router.forward.log.DecisionLog;

/** Logs and counts what a connection to an endpoint received that is no response to its request. */
final class EndpointConnectionLog {

  private final String address;
  private final long number;
  private final DecisionLog log;
  private final MetricRegistry metrics;

  /**
   * Creates the log of one connection.
   *
   * @param address the endpoint's IP address and TCP port
   * @param number tells the connections of this instance apart
   * @param log receives the lines
   * @param metrics counts the events
   */
  EndpointConnectionLog(String address, long number, DecisionLog log, MetricRegistry metrics) {
    this.address = address;
    this.number = number;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Records bytes that arrived while no request was waiting for a response.
   *
   * @param bytes the number of bytes
   * @param requests the number of requests that the connection has carried
   */
  void unsolicited(int bytes, int requests) {
    metrics.counter("endpoint.connections.unsolicited").inc();
    log.failure(
        "endpoint.unsolicited_bytes",
        "address",
        address,
        "connection",
        number,
        "requests",
        requests,
        "bytes",
        bytes);
  }

  /**
   * Records a response that belongs to another request.
   *
   * @param awaitedId the id of the request that waits for a response
   * @param receivedId the id in the response
   * @param status the status of the response
   * @param requests the number of requests that the connection has carried
   */
  void skipped(Optional<String> awaitedId, Optional<String> receivedId, int status, int requests) {
    metrics.counter("endpoint.responses.skipped").inc();
    log.failure(
        "endpoint.response_skipped",
        "requestId",
        awaitedId.orElse(""),
        "receivedId",
        receivedId.orElse(""),
        "status",
        status,
        "address",
        address,
        "connection",
        number,
        "requests",
        requests);
  }

  /**
   * Records bytes that cannot be read as a response.
   *
   * @param awaitedId the id of the request that waits for a response
   * @param reason why the bytes cannot be read
   * @param requests the number of requests that the connection has carried
   */
  void unreadable(Optional<String> awaitedId, String reason, int requests) {
    metrics.counter("endpoint.responses.unreadable").inc();
    log.failure(
        "endpoint.response_unreadable",
        "requestId",
        awaitedId.orElse(""),
        "why",
        reason,
        "address",
        address,
        "connection",
        number,
        "requests",
        requests);
  }
}
