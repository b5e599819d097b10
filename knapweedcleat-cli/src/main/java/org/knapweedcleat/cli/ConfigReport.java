package org.knapweedcleat.cli;

import java.util.List;
import org.knapweedcleat.core.directory.check.ConfigChange;
import org.knapweedcleat.core.directory.check.ConfigField;
import org.knapweedcleat.core.directory.check.LocatedFinding;
import org.knapweedcleat.core.directory.check.ParsedConfig;
import org.knapweedcleat.core.directory.check.SourceLocation;

/**
 * The result of checking a published configuration.
 *
 * @param file the file name
 * @param findings the errors and warnings
 * @param changes the differences from the version in force
 * @param compared whether there is a version in force to compare with
 * @param notes further advice for the operator
 * @param summary a summary of the content, empty if it is rejected
 */
record ConfigReport(
    String file,
    List<LocatedFinding> findings,
    List<LocatedChange> changes,
    boolean compared,
    List<String> notes,
    String summary) {

  /**
   * A change with its location.
   *
   * @param kind the kind of change
   * @param location the location, in the version in force if the entry was removed
   * @param values the changed values
   */
  record LocatedChange(ConfigChange.Kind kind, SourceLocation location, List<LocatedValue> values) {

    static LocatedChange of(ConfigChange change, ParsedConfig config) {
      return new LocatedChange(
          change.kind(),
          config.locator().locate(change.entry(), ConfigField.NAME),
          change.fields().stream()
              .map(
                  field ->
                      new LocatedValue(
                          config.locator().locate(change.entry(), field.field()).key(),
                          field.before(),
                          field.after()))
              .toList());
    }
  }

  /**
   * A changed value.
   *
   * @param key the key
   * @param before the old value
   * @param after the new value
   */
  record LocatedValue(String key, String before, String after) {}

  boolean hasErrors() {
    return countErrors() > 0;
  }

  long countErrors() {
    return findings.stream().filter(finding -> finding.kind().isError()).count();
  }

  boolean hasContent() {
    return !summary.isEmpty();
  }
}
