import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the deploy file and renders the settings template, as the users' platform does. */
final class Deployment {

  private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*$");
  private static final Pattern SECTION =
      Pattern.compile("(?s)\\{\\{#([\\w.]+)}}\\n?(.*?)\\{\\{/\\1}}\\n?");
  private static final Pattern FIELD = Pattern.compile("\\{\\{([@\\w.]+)}}");

  private Deployment() {}

  /** Returns the command of the deploy file with the settings of one instance. */
  static List<String> command(Path settings) throws IOException {
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run command");
    }
    List<String> words = new ArrayList<>(List.of(run.group(1).split(" +")));
    words.set(words.indexOf("--settings") + 1, settings.toString());
    return words;
  }

  /** Renders deploy/instance.ini; fields are named as on the deployment page. */
  static String render(Map<String, Object> fields) throws IOException {
    String template = Files.readString(Path.of("deploy/instance.ini"));
    Matcher section = SECTION.matcher(template);
    StringBuilder expanded = new StringBuilder();
    while (section.find()) {
      StringBuilder entries = new StringBuilder();
      Object value = find(fields, section.group(1));
      if (value instanceof Map<?, ?> table) {
        for (Map.Entry<?, ?> entry : table.entrySet()) {
          entries.append(
              section
                  .group(2)
                  .replace("{{@}}", String.valueOf(entry.getKey()))
                  .replace("{{.}}", String.valueOf(entry.getValue())));
        }
      } else if (value != null) {
        entries.append(section.group(2));
      }
      section.appendReplacement(expanded, Matcher.quoteReplacement(entries.toString()));
    }
    section.appendTail(expanded);
    Matcher field = FIELD.matcher(expanded);
    StringBuilder text = new StringBuilder();
    while (field.find()) {
      field.appendReplacement(text, Matcher.quoteReplacement(text(find(fields, field.group(1)))));
    }
    field.appendTail(text);
    return text.toString();
  }

  private static String text(Object value) {
    if (value == null) {
      return "";
    }
    return value instanceof List<?> list
        ? String.join(",", list.stream().map(String::valueOf).toList())
        : String.valueOf(value);
  }

  private static Object find(Object from, String name) {
    Object current = from;
    for (String part : name.split("\\.")) {
      if (current instanceof Map<?, ?> table) {
        current = table.get(part);
      } else if (current instanceof List<?> list) {
        current = list.get(Integer.parseInt(part));
      } else {
        return null;
      }
    }
    return current;
  }

  /** Returns the bounds of the small deployments. */
  static Map<String, Object> bounds() {
    Map<String, Object> bounds = new LinkedHashMap<>();
    bounds.put("grace_s", 8);
    bounds.put("drain_ms", 3000);
    bounds.put("config_apply_ms", 3000);
    bounds.put("retry_budget_ratio", 0.2);
    bounds.put("budget_window_s", 10);
    bounds.put("budget_slack", 58);
    bounds.put("quota_overage", 0.25);
    bounds.put("quota_slack", 140000);
    return bounds;
  }
}
