package org.knapweedcleat.core.directory.check;

import java.util.List;
import java.util.Optional;
import org.knapweedcleat.core.directory.RoutingContent;

/**
 * The text of a configuration as its platform's parser reads it.
 *
 * @param content the content; empty if the parser rejects it
 * @param findings the rejected and the replaced values
 * @param locator locates entries in the text
 */
public record ParsedConfig(
    Optional<RoutingContent> content, List<LocatedFinding> findings, ConfigLocator locator) {

  /** Copies the list. */
  public ParsedConfig {
    findings = List.copyOf(findings);
  }

  /**
   * Returns a finding of this text with its location.
   *
   * @param finding the finding
   * @return the same finding, located
   */
  public LocatedFinding locate(Finding finding) {
    return new LocatedFinding(
        finding.kind(), locator.locate(finding.entry(), finding.field()), finding.text());
  }
}
