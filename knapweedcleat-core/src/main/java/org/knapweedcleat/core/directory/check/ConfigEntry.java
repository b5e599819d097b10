package org.knapweedcleat.core.directory.check;

import java.util.Objects;

/**
 * Identifies an entry of a published configuration.
 *
 * @param section its section
 * @param index its position among the entries of its section, since names may occur twice; 0 if the
 *     section has only one entry
 * @param name its name; empty if the section has only one entry
 */
public record ConfigEntry(ConfigSection section, int index, String name) {

  /** The configuration itself. */
  public static final ConfigEntry CONFIGURATION = single(ConfigSection.CONFIGURATION);

  /** The limits on requests. */
  public static final ConfigEntry LIMITS = single(ConfigSection.LIMITS);

  /** Checks that nothing is missing. */
  public ConfigEntry {
    Objects.requireNonNull(section, "section");
    Objects.requireNonNull(name, "name");
  }

  private static ConfigEntry single(ConfigSection section) {
    return new ConfigEntry(section, 0, "");
  }

  /**
   * Returns the text shown to operators.
   *
   * @return such as "route book"
   */
  @Override
  public String toString() {
    return name.isEmpty() ? section.displayName() : section.displayName() + " " + name;
  }
}
