package org.knapweedcleat.core.config;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.io.StringReader;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.tree.ImmutableNode;

/** Parses INI text into sections of known kinds and reports all structural faults. */
final class IniReader {

  private final SettingsFileType fileType;
  private final String fileName;
  private final LineIndex lines;

  private IniReader(SettingsFileType fileType, String fileName, LineIndex lines) {
    this.fileType = fileType;
    this.fileName = fileName;
    this.lines = lines;
  }

  static IniContent read(SettingsFileType fileType, String fileName, String text) {
    IniReader reader = new IniReader(fileType, fileName, LineIndex.of(text));
    return Try.of(() -> parse(text))
        .map(reader::content)
        .getOrElseGet(failure -> reader.unreadable(failure));
  }

  private static ImmutableNode parse(String text) throws Exception {
    INIConfiguration ini = new INIConfiguration();
    ini.setSeparatorUsedInInput("=");
    ini.read(new StringReader(text));
    return ini.getNodeModel().getNodeHandler().getRootNode();
  }

  private IniContent unreadable(Throwable failure) {
    String found = failure.getClass().getSimpleName();
    return new IniContent(
        List.empty(), List.of(fault(ConfigFaultKind.UNREADABLE, 0, "", "", found, "INI text")));
  }

  private IniContent content(ImmutableNode root) {
    List<ImmutableNode> children = List.ofAll(root.getChildren());
    List<ConfigFault> keysOutsideSections =
        children.filter(this::isKey).map(this::keyOutsideSection);
    List<Either<ConfigFault, IniSection>> sections =
        children.reject(this::isKey).map(this::classify);
    return new IniContent(
        sections.flatMap(Either::toOption),
        keysOutsideSections
            .appendAll(sections.flatMap(section -> section.swap().toOption()))
            .appendAll(lines.duplicates().map(this::duplicate)));
  }

  private boolean isKey(ImmutableNode node) {
    return node.getValue() != null;
  }

  private ConfigFault keyOutsideSection(ImmutableNode node) {
    String key = node.getNodeName();
    String shown = SettingKeyRedactor.redactUnlessSimilar(key, keyNames());
    return fault(
        ConfigFaultKind.KEY_OUTSIDE_SECTION,
        lines.lineOf("", key),
        "",
        shown,
        shown,
        "a section before the first key, such as " + SectionKind.in(fileType).head().form());
  }

  private Either<ConfigFault, IniSection> classify(ImmutableNode node) {
    String header = LineIndex.normalizeHeader(node.getNodeName());
    List<String> words = List.of(header.split(" "));
    Option<SectionKind> kind = SectionKind.find(fileType, words.head());
    return kind.filter(section -> hasNames(section, words.tail()))
        .map(section -> section(section, words.tail(), header, node))
        .toEither(() -> unknownSection(kind, header, words.head()));
  }

  private static boolean hasNames(SectionKind section, List<String> names) {
    return names.size() == section.nameCount()
        && names.forAll(name -> ValueRules.name().parse(name).isDefined());
  }

  private IniSection section(
      SectionKind section, List<String> names, String header, ImmutableNode node) {
    Map<String, IniEntry> entries =
        LinkedHashMap.ofEntries(
            List.ofAll(node.getChildren())
                .distinctBy(ImmutableNode::getNodeName)
                .map(child -> entry(header, child)));
    return new IniSection(section, names, header, lines.lineOf(header), entries);
  }

  private Tuple2<String, IniEntry> entry(String header, ImmutableNode node) {
    String key = node.getNodeName().trim();
    String value = String.valueOf(node.getValue()).trim();
    return Tuple.of(key, new IniEntry(value, lines.lineOf(header, key)));
  }

  private ConfigFault unknownSection(Option<SectionKind> kind, String header, String word) {
    List<SectionKind> kinds = SectionKind.in(fileType);
    String allowed =
        kind.map(section -> section.form() + ", where each name is " + ValueRules.name().allowed())
            .getOrElse(
                () ->
                    NameSuggester.hint(word, kinds.map(SectionKind::word))
                        + kinds.map(SectionKind::form).mkString(", "));
    return fault(
        ConfigFaultKind.UNKNOWN_SECTION, lines.lineOf(header), header, "", header, allowed);
  }

  private ConfigFault duplicate(LineIndex.Location location) {
    boolean wholeSection = location.key().isEmpty();
    int first =
        wholeSection
            ? lines.lineOf(location.section())
            : lines.lineOf(location.section(), location.key());
    String shown = wholeSection ? "" : redactDuplicateKey(location);
    return fault(
        wholeSection ? ConfigFaultKind.REPEATED_SECTION : ConfigFaultKind.REPEATED_KEY,
        location.line(),
        location.section(),
        shown,
        wholeSection ? location.section() : shown,
        "once; the first is on line " + first);
  }

  private String redactDuplicateKey(LineIndex.Location location) {
    return SectionKind.find(fileType, location.section().split(" ")[0])
        .filter(section -> section != SectionKind.KEY)
        .map(section -> location.key())
        .getOrElse(() -> SettingKeyRedactor.redactUnlessSimilar(location.key(), keyNames()));
  }

  private List<String> keyNames() {
    return SettingKey.in(fileType).map(SettingKey::name).distinct();
  }

  private ConfigFault fault(
      ConfigFaultKind fault, int line, String section, String key, String found, String allowed) {
    return new ConfigFault(fault, fileName, line, section, key, found, allowed);
  }
}
