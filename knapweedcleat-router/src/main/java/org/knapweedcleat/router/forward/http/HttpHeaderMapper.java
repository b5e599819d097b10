package org.knapweedcleat.router.forward.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.knapweedcleat.router.forward.codec.HeaderField;

/** Converts headers between Netty's representation and the router's. */
final class HttpHeaderMapper {

  /** Hop-by-hop headers, which apply to one connection only, and headers that frame the body. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private HttpHeaderMapper() {}

  /** Returns the headers to pass on; each connection sets its own framing headers. */
  static List<HeaderField> endToEnd(HttpHeaders headers) {
    Set<String> dropped = new TreeSet<>(HOP_BY_HOP);
    for (String value : headers.getAll("Connection")) {
      for (String name : value.split(",")) {
        dropped.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    List<HeaderField> kept = new ArrayList<>();
    for (Map.Entry<String, String> header : headers) {
      if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
        kept.add(new HeaderField(header.getKey(), header.getValue()));
      }
    }
    return kept;
  }

  static void addAll(HttpHeaders to, List<HeaderField> headers) {
    headers.forEach(header -> to.add(header.name(), header.value()));
  }
}
