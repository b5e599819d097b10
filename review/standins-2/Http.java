import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {

  /** A message; names of headers are in lower case. */
  record Message(String first, Map<String, String> headers, String rawHead, byte[] body) {

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private Http() {}

  /** Reads a message; returns null if the connection ends before its first byte. */
  static Message read(InputStream in, boolean isResponse) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        if (head.length() == 0) {
          return null;
        }
        throw new EOFException("the connection ended inside a head");
      }
      head.append((char) next);
    }
    List<String> lines = new ArrayList<>(List.of(head.toString().trim().split("\r\n")));
    Map<String, String> headers = new TreeMap<>();
    for (String line : lines.subList(1, lines.size())) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    byte[] body;
    if ("chunked".equalsIgnoreCase(headers.getOrDefault("transfer-encoding", ""))) {
      body = readChunks(in);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("the connection ended inside a body");
      }
    } else {
      body = isResponse ? in.readAllBytes() : new byte[0];
    }
    return new Message(lines.get(0), headers, head.toString(), body);
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    while (true) {
      int length = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
      byte[] chunk = in.readNBytes(length);
      if (chunk.length < length) {
        throw new EOFException("the connection ended inside a chunk");
      }
      body.write(chunk);
      if (length == 0) {
        while (!readLine(in).isEmpty()) {
          // Trailers are not used.
        }
        return body.toByteArray();
      }
      readLine(in);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (line.length() < 2 || !line.substring(line.length() - 2).equals("\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the connection ended inside a line");
      }
      line.append((char) next);
    }
    return line.substring(0, line.length() - 2);
  }
}
