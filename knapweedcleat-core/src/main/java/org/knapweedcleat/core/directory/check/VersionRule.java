package org.knapweedcleat.core.directory.check;

import java.util.Optional;
import org.knapweedcleat.core.directory.RoutingContent;

/** Compares the version numbers of two configurations; instances use only a higher one. */
public final class VersionRule {

  private VersionRule() {}

  /**
   * Checks that a configuration replaces the one in force.
   *
   * @param inForce the configuration in force
   * @param content the configuration to publish
   * @return the finding; empty if its version is higher
   */
  public static Optional<Finding> check(RoutingContent inForce, RoutingContent content) {
    return content.version() > inForce.version()
        ? Optional.empty()
        : Optional.of(
            new Finding(
                FindingKind.VERSION_NOT_HIGHER,
                ConfigEntry.CONFIGURATION,
                ConfigField.VERSION,
                content.version()
                    + " is not higher than "
                    + inForce.version()
                    + ", which is in force; instances would ignore it"));
  }
}
