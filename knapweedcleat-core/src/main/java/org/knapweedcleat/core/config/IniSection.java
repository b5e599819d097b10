package org.knapweedcleat.core.config;

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

  String name() {
    return names.head();
  }
}
