package org.knapweedcleat.core.config.diff;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import java.lang.reflect.RecordComponent;
import org.knapweedcleat.core.config.DocumentSettingKeys;
import org.knapweedcleat.core.config.SettingFormatter;

/** Formats the keys and values of a section as they are written in a settings file. */
final class SpecFormatter {

  private static final String DOMAIN_WEIGHTS = "domainWeights";
  private static final List<String> HEADER_COMPONENTS = List.of("id", "name", "from", "to");

  private SpecFormatter() {}

  /** Returns the values by key, relying on record components that are named like the keys. */
  static Map<String, String> format(Record spec) {
    return LinkedHashMap.ofEntries(
        List.of(spec.getClass().getRecordComponents())
            .reject(component -> HEADER_COMPONENTS.contains(component.getName()))
            .flatMap(component -> entries(component.getName(), value(spec, component))));
  }

  private static List<Tuple2<String, String>> entries(String name, Object value) {
    if (name.equals(DOMAIN_WEIGHTS)) {
      return List.ofAll(((java.util.Map<?, ?>) value).entrySet())
          .map(
              entry ->
                  Tuple.of(
                      DocumentSettingKeys.DOMAIN_WEIGHT_PREFIX + entry.getKey(),
                      String.valueOf(entry.getValue())))
          .sortBy(entry -> entry._1);
    }
    return List.of(Tuple.of(name, text(value)));
  }

  private static String text(Object value) {
    if (value instanceof Enum<?> constant) {
      return SettingFormatter.format(constant);
    }
    if (value instanceof Boolean flag) {
      return SettingFormatter.format(flag);
    }
    return String.valueOf(value);
  }

  private static Object value(Record spec, RecordComponent component) {
    try {
      return component.getAccessor().invoke(spec);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("cannot read component of a public record", e);
    }
  }
}
