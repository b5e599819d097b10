package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Option;
import org.knapweedcleat.core.config.SectionKind;
import org.knapweedcleat.core.config.SettingKey;
import org.knapweedcleat.core.config.SettingsFileType;

/** Formats all setting keys as Markdown tables for the configuration reference. */
final class SettingKeyTables {

  private static final String TABLE_HEADER =
      "| key | allowed | unit | default | meaning |\n|---|---|---|---|---|\n";

  private SettingKeyTables() {}

  static String of(SettingsFileType file) {
    List<SettingKey<?>> keys = SettingKey.in(file);
    return SectionKind.in(file)
        .map(kind -> section(kind, keys.filter(key -> key.section() == kind)))
        .mkString("\n");
  }

  private static String section(SectionKind kind, List<SettingKey<?>> keys) {
    return "### `"
        + kind.form()
        + "`\n\n"
        + kind.description()
        + "\n\n"
        + TABLE_HEADER
        + keys.map(SettingKeyTables::row).mkString();
  }

  private static String row(SettingKey<?> key) {
    return List.of(
            "`" + key.name() + (key.isPrefix() ? "DOMAIN" : "") + "`",
            key.referencedKind().map(kind -> key.allowed()).getOrElse(() -> key.rule().allowed()),
            key.unit(),
            defaultCell(key.defaultText()),
            key.description())
        .map(cell -> cell.replace("|", "\\|"))
        .mkString("| ", " | ", " |\n");
  }

  private static String defaultCell(Option<String> defaultText) {
    return defaultText.map(text -> text.isEmpty() ? "empty" : text).getOrElse("needed");
  }
}
