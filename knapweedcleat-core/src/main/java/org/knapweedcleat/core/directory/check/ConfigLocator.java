package org.knapweedcleat.core.directory.check;

/** Locates entries and fields in the text of a configuration. */
@FunctionalInterface
public interface ConfigLocator {

  /**
   * Locates a field; its entry if the text does not have the field.
   *
   * @param entry the entry
   * @param field the field; {@link ConfigField#NAME} for the whole entry
   * @return the location, in the platform's names
   */
  SourceLocation locate(ConfigEntry entry, ConfigField field);
}
