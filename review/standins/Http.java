import java.io.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** Reads and writes HTTP/1.1 messages. */
final class Http {
  /** A message; header names are in lower case. */
  record Message(String first, Map<String, String> headers, byte[] body) {
    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  private Http() {}

  /** Reads a message whose body has a length or chunks; null if the connection ended before it. */
  static Message read(InputStream in, boolean request) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    byte[] body = new byte[0];
    if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("the body broke off");
      }
    } else if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int size = chunk(in); size > 0; size = chunk(in)) {
        byte[] part = in.readNBytes(size);
        if (part.length < size) {
          throw new EOFException("the body broke off");
        }
        all.write(part);
        line(in);
      }
      line(in);
      body = all.toByteArray();
    }
    return new Message(first, headers, body);
  }

  private static int chunk(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      throw new EOFException("the body broke off");
    }
    return Integer.parseInt(line.trim(), 16);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the head broke off");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static Map<String, String> query(String target) {
    Map<String, String> found = new HashMap<>();
    for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
      String[] parts = pair.split("=", 2);
      found.put(parts[0], parts.length < 2 ? "" : java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return found;
  }

  static void write(OutputStream out, String first, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(first).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }
}
