package org.knapweedcleat.core.directory.check;

/**
 * Reads a platform's form of the published configuration with all its errors; loaded by {@link
 * java.util.ServiceLoader}. Needs nothing of the router, so that tools can use it alone.
 */
public interface ConfigFormat {

  /**
   * Returns the name of the adapter that reads this form.
   *
   * @return the name that selects it on the command line
   */
  String adapter();

  /**
   * Parses a configuration.
   *
   * @param text the text
   * @return the content, unless it is rejected, and all findings of the parser
   */
  ParsedConfig parse(String text);
}
