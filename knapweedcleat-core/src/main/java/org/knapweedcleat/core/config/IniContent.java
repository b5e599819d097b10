package org.knapweedcleat.core.config;

import io.vavr.collection.List;

/**
 * What an INI text holds.
 *
 * @param sections the sections of known kinds
 * @param faults what is wrong with the form of the text
 */
record IniContent(List<IniSection> sections, List<ConfigFault> faults) {

  List<IniSection> of(SectionKind kind) {
    return sections.filter(section -> section.kind() == kind);
  }
}
