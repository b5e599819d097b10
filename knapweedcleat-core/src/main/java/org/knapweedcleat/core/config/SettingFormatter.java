package org.knapweedcleat.core.config;

import java.util.Locale;

/** Formats values as they are written in settings files. */
public final class SettingFormatter {

  private SettingFormatter() {}

  /**
   * Formats an enum constant.
   *
   * @param value the constant
   * @return for example {@code at-most-once}
   */
  public static String format(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Formats a boolean.
   *
   * @param value the boolean
   * @return {@code yes} or {@code no}
   */
  public static String format(boolean value) {
    return value ? "yes" : "no";
  }
}
