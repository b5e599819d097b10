package org.knapweedcleat.core.config;

import io.vavr.collection.List;

/**
 * The parsed content of an INI text.
 *
 * @param sections the sections of known kinds
 * @param faults the structural faults of the text
 */
record IniContent(List<IniSection> sections, List<ConfigFault> faults) {

  List<IniSection> of(SectionKind kind) {
    return sections.filter(section -> section.kind() == kind);
  }
}
