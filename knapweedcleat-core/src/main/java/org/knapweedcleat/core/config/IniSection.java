package org.knapweedcleat.core.config;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;

/**
 * An unvalidated section of a known kind.
 *
 * @param kind its kind
 * @param names the names in its header
 * @param header its header without brackets
 * @param line its line number, or 0 if it is not in the text
 * @param entries its entries by key, in text order
 */
record IniSection(
    SectionKind kind, List<String> names, String header, int line, Map<String, IniEntry> entries) {

  /** Returns an empty section of a kind that is absent from the text. */
  static IniSection empty(SectionKind kind) {
    return new IniSection(kind, List.empty(), kind.word(), 0, LinkedHashMap.empty());
  }

  String name() {
    return names.head();
  }
}
