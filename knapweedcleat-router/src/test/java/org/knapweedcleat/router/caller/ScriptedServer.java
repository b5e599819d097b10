package org.knapweedcleat.router.caller;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** An HTTP endpoint on raw TCP that can close a connection at any stage of a call. */
final class ScriptedServer {

  /** The stage at which the server closes the connection. */
  enum Fault {
    AFTER_ACCEPT,
    AFTER_REQUEST_HEAD,
    AFTER_REQUEST_BODY,
    AFTER_RESPONSE_HEAD,
    MID_BODY,
    NONE
  }

  /** A request as received. */
  record ReceivedRequest(String method, String path, String head, String body) {
    JsonObject json() {
      return new JsonObject(body);
    }
  }

  /** A response; an empty list of parts leaves the request without one. */
  record Response(int status, String headers, List<String> parts) {
    static Response json(int status, JsonObject body) {
      return new Response(status, "Content-Type: application/json\r\n", List.of(body.encode()));
    }
  }

  private final Map<String, Fault> faults = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
  private final List<NetSocket> stalled = new CopyOnWriteArrayList<>();
  private final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
  private final Function<ReceivedRequest, Response> handler;
  private final NetServer server;
  private volatile Fault acceptFault = Fault.NONE;

  private ScriptedServer(Vertx vertx, Function<ReceivedRequest, Response> handler) {
    this.handler = handler;
    this.server = vertx.createNetServer().connectHandler(this::accept);
  }

  static ScriptedServer start(Vertx vertx, Function<ReceivedRequest, Response> handler) {
    ScriptedServer scriptedServer = new ScriptedServer(vertx, handler);
    scriptedServer.server.listen(0, "127.0.0.1").await();
    return scriptedServer;
  }

  int port() {
    return server.actualPort();
  }

  void close() {
    server.close().await();
  }

  /** Makes only the next request to the path fail. */
  void failNext(String path, Fault fault) {
    if (fault == Fault.AFTER_ACCEPT) {
      acceptFault = fault;
    } else {
      faults.put(path, fault);
    }
  }

  /** Returns the number of requests to a path that were received completely. */
  int receivedCount(String path) {
    return counts.getOrDefault(path, new AtomicInteger()).get();
  }

  /** Responds to the requests that were left without a response. */
  void respondToStalled(Response response) {
    stalled.forEach(socket -> send(socket, response, Fault.NONE));
    stalled.clear();
  }

  List<ReceivedRequest> received(String path) {
    return received.stream().filter(request -> request.path().equals(path)).toList();
  }

  private void accept(NetSocket socket) {
    if (acceptFault != Fault.NONE) {
      acceptFault = Fault.NONE;
      socket.close();
      return;
    }
    socket.exceptionHandler(failure -> socket.close());
    Buffer buffered = Buffer.buffer();
    List<Integer> offset = new ArrayList<>(List.of(0));
    socket.handler(
        part -> {
          buffered.appendBuffer(part);
          offset.set(0, read(socket, buffered, offset.get(0)));
        });
  }

  private int read(NetSocket socket, Buffer buffered, int start) {
    String text = buffered.getString(start, buffered.length());
    int headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
      return start;
    }
    String head = text.substring(0, headEnd);
    String[] line = head.split(" ", 3);
    String path = line[1].split("\\?")[0];
    if (faults.remove(path, Fault.AFTER_REQUEST_HEAD)) {
      socket.close();
      return buffered.length();
    }
    int length = contentLength(head);
    int bodyStart = headEnd + 4;
    if (text.length() < bodyStart + length) {
      return start;
    }
    String body = text.substring(bodyStart, bodyStart + length);
    serve(socket, new ReceivedRequest(line[0], path, head, body));
    return buffered.length();
  }

  private void serve(NetSocket socket, ReceivedRequest request) {
    received.add(request);
    counts.computeIfAbsent(request.path(), key -> new AtomicInteger()).incrementAndGet();
    Fault fault = faults.getOrDefault(request.path(), Fault.NONE);
    faults.remove(request.path());
    if (fault == Fault.AFTER_REQUEST_BODY) {
      socket.close();
      return;
    }
    Response response = handler.apply(request);
    if (response.parts().isEmpty()) {
      stalled.add(socket);
    } else {
      send(socket, response, fault);
    }
  }

  private static void send(NetSocket socket, Response response, Fault fault) {
    StringBuilder text = new StringBuilder();
    text.append("HTTP/1.1 ").append(response.status()).append(" X\r\n").append(response.headers());
    text.append("Transfer-Encoding: chunked\r\n\r\n");
    int parts = fault == Fault.MID_BODY ? response.parts().size() / 2 : response.parts().size();
    if (fault != Fault.AFTER_RESPONSE_HEAD) {
      response.parts().subList(0, parts).forEach(part -> text.append(chunk(part)));
    }
    if (fault == Fault.NONE) {
      socket.write(text.append("0\r\n\r\n").toString());
    } else {
      socket.write(text.toString()).onComplete(done -> socket.close());
    }
  }

  private static String chunk(String part) {
    return Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
  }

  private static int contentLength(String head) {
    for (String line : head.toLowerCase(Locale.ROOT).split("\r\n")) {
      if (line.startsWith("content-length:")) {
        return Integer.parseInt(line.substring("content-length:".length()).strip());
      }
    }
    return 0;
  }
}
