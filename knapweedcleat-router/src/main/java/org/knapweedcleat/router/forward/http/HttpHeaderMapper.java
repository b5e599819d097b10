package org.knapweedcleat.router.forward.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.knapweedcleat.router.forward.codec.HeaderField;

/** Copies headers between the library's form and ours. */
final class HttpHeaderMapper {

  /** Headers that concern only one connection. */
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

  /** Returns the headers that are passed on; the framing is made anew for each connection. */
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
