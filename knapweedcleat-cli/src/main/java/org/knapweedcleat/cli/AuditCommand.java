package org.knapweedcleat.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.Set;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the audit trail of an instance. */
final class AuditCommand extends Command {

  private static final Set<String> COMMON_FIELDS = Set.of("number", "atMillis", "kind");

  @Argument(required = true, metaVar = "HOST:PORT", usage = "the operator port of the instance")
  private String address;

  @Option(name = "--after", metaVar = "N", usage = "print only events after this number; default 0")
  private long after;

  @Option(name = "--json", usage = "print JSON, one event per line")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    OperatorAddress instance = OperatorAddress.parse(address);
    boolean complete = true;
    try (OperatorClient client = OperatorClient.create()) {
      long next = Math.max(0, after);
      JsonObject page = client.audit(instance, next);
      while (!entries(page).isEmpty()) {
        complete &= reportGap(console, page);
        print(console, entries(page));
        next = page.getLong("next", next);
        page = client.audit(instance, next);
      }
    }
    return ExitCode.foundIf(!complete);
  }

  private static JsonArray entries(JsonObject page) {
    return page.getJsonArray("entries", new JsonArray());
  }

  private static boolean reportGap(Console console, JsonObject page) {
    long missed = page.getLong("missed", 0L);
    if (missed > 0) {
      console.error(missed + " earlier events are no longer kept by the instance; see its log");
    }
    return missed == 0;
  }

  private void print(Console console, JsonArray entries) {
    for (int i = 0; i < entries.size(); i++) {
      JsonObject entry = entries.getJsonObject(i);
      console.line(json ? entry.encode() : text(entry));
    }
  }

  /** Formats a value; each fault of a document gets its own line. */
  private static String value(Object value) {
    if (value instanceof JsonArray items && items.size() > 1) {
      return items.stream().map(item -> "\n    " + item).collect(Collectors.joining());
    }
    return String.valueOf(value);
  }

  private static String text(JsonObject entry) {
    String details =
        entry.stream()
            .filter(field -> !COMMON_FIELDS.contains(field.getKey()))
            .map(field -> field.getKey() + "=" + value(field.getValue()))
            .collect(Collectors.joining(" "));
    Instant time = Instant.ofEpochMilli(entry.getLong("atMillis", 0L));
    return entry.getLong("number") + " " + time + " " + entry.getString("kind") + " " + details;
  }
}
