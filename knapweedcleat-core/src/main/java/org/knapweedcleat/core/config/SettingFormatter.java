package org.knapweedcleat.core.config;

import java.util.Locale;

/** Gives the words by which settings name values. */
public final class SettingFormatter {

  private SettingFormatter() {}

  /**
   * Returns the word for a constant.
   *
   * @param value the constant
   * @return such as {@code at-most-once}
   */
  public static String format(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the word for a yes or no.
   *
   * @param value the answer
   * @return {@code yes} or {@code no}
   */
  public static String format(boolean value) {
    return value ? "yes" : "no";
  }
}
