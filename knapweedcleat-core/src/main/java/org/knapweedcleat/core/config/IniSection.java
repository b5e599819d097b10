package org.knapweedcleat.core.config;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;

/**
 * A section as written, of a known kind.
 *
 * @param kind its kind
 * @param names the names in its header
 * @param header its header without brackets
 * @param line its line, 0 if it is not in the text
 * @param entries its keys in the order of the text
 */
record IniSection(
    SectionKind kind, List<String> names, String header, int line, Map<String, IniEntry> entries) {

  /** Returns a section that is not in the text. */
  static IniSection empty(SectionKind kind) {
    return new IniSection(kind, List.empty(), kind.word(), 0, LinkedHashMap.empty());
  }

  String name() {
    return names.head();
  }
}
