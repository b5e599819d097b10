package org.knapweedcleat.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.knapweedcleat.core.directory.check.LocatedFinding;
import org.knapweedcleat.core.directory.check.SourceLocation;

/** Formats the result of checking a published configuration as JSON. */
final class ConfigReportJson {

  private ConfigReportJson() {}

  static JsonObject of(ConfigReport report) {
    JsonArray findingsArray = new JsonArray();
    report.findings().forEach(finding -> findingsArray.add(json(finding)));
    JsonObject json =
        new JsonObject()
            .put("file", report.file())
            .put("ok", !report.hasErrors())
            .put("summary", report.summary())
            .put("findings", findingsArray)
            .put("notes", new JsonArray(report.notes()));
    if (report.compared()) {
      JsonArray changesArray = new JsonArray();
      report.changes().forEach(change -> changesArray.add(json(change)));
      json.put("changes", changesArray);
    }
    return json;
  }

  private static JsonObject json(LocatedFinding finding) {
    return located(finding.location())
        .put("key", finding.location().key())
        .put("severity", finding.kind().isError() ? "error" : "warning")
        .put("group", finding.kind().group().name())
        .put("kind", finding.kind().name())
        .put("text", finding.text());
  }

  private static JsonObject json(ConfigReport.LocatedChange change) {
    JsonArray values = new JsonArray();
    change
        .values()
        .forEach(
            value ->
                values.add(
                    new JsonObject()
                        .put("key", value.key())
                        .put("before", value.before())
                        .put("after", value.after())));
    return located(change.location()).put("kind", change.kind().name()).put("values", values);
  }

  private static JsonObject located(SourceLocation location) {
    return new JsonObject().put("line", location.line()).put("section", location.section());
  }
}
