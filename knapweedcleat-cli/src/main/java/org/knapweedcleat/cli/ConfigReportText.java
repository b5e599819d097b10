package org.knapweedcleat.cli;

import java.util.Locale;
import org.knapweedcleat.core.directory.check.ConfigChange;
import org.knapweedcleat.core.directory.check.LocatedFinding;
import org.knapweedcleat.core.directory.check.SourceLocation;

/** Prints the result of checking a published configuration as text. */
final class ConfigReportText {

  private final Console console;
  private final ConfigReport report;

  private ConfigReportText(Console console, ConfigReport report) {
    this.console = console;
    this.report = report;
  }

  static void print(Console console, ConfigReport report) {
    new ConfigReportText(console, report).print();
  }

  private void print() {
    report.findings().forEach(finding -> console.line(text(finding)));
    if (report.compared() && report.hasContent()) {
      printChanges();
    }
    report.notes().forEach(note -> console.line(report.file() + ": note: " + note));
    long errors = report.countErrors();
    String counts =
        count(errors, "error") + ", " + count(report.findings().size() - errors, "warning");
    console.line(
        report.file() + ": " + counts + (report.hasContent() ? "; " + report.summary() : ""));
  }

  private static String count(long number, String word) {
    return number + " " + word + (number == 1 ? "" : "s");
  }

  private String text(LocatedFinding finding) {
    String severity = finding.kind().isError() ? "error" : "warning";
    String group = finding.kind().isError() ? "" : ", " + finding.kind().group().displayName();
    return report.file()
        + line(finding.location())
        + ": "
        + severity
        + group
        + ": "
        + place(finding.location())
        + printable(finding.text());
  }

  private static String line(SourceLocation location) {
    return location.line() > 0 ? ":" + location.line() : "";
  }

  private static String place(SourceLocation location) {
    String section = location.section().isEmpty() ? "" : "[" + location.section() + "] ";
    String key = location.key().isEmpty() ? "" : location.key() + ": ";
    return printable(section + key);
  }

  /** Replaces control characters, so that names from a file cannot forge or hide lines. */
  private static String printable(String text) {
    return text.replaceAll("\\p{Cntrl}", "?");
  }

  private void printChanges() {
    report.changes().forEach(this::printChange);
    console.line(
        report.file()
            + ": "
            + report.changes().size()
            + (report.changes().size() == 1 ? " entry differs" : " entries differ")
            + " from the version in force");
  }

  private void printChange(ConfigReport.LocatedChange change) {
    String section = change.location().section();
    console.line(
        word(change.kind())
            + (section.isEmpty() ? " configuration" : " [" + printable(section) + "]"));
    change
        .values()
        .forEach(
            value ->
                console.line(
                    printable(
                        "    " + value.key() + ": " + value.before() + " -> " + value.after())));
  }

  private static String word(ConfigChange.Kind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }
}
