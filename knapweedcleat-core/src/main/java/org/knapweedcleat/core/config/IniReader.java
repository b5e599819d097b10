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

/** Reads INI text into sections of known kinds and finds every fault of its form. */
final class IniReader {

  private final SettingsFileType kind;
  private final String fileName;
  private final LineIndex lines;

  private IniReader(SettingsFileType kind, String fileName, LineIndex lines) {
    this.kind = kind;
    this.fileName = fileName;
    this.lines = lines;
  }

  static IniContent read(SettingsFileType kind, String fileName, String text) {
    IniReader reader = new IniReader(kind, fileName, LineIndex.of(text));
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
    List<ConfigFault> outside = children.filter(this::isKey).map(this::outsideSection);
    List<Either<ConfigFault, IniSection>> sections =
        children.reject(this::isKey).map(this::classify);
    return new IniContent(
        sections.flatMap(Either::toOption),
        outside
            .appendAll(sections.flatMap(section -> section.swap().toOption()))
            .appendAll(lines.duplicates().map(this::repetition)));
  }

  private boolean isKey(ImmutableNode node) {
    return node.getValue() != null;
  }

  private ConfigFault outsideSection(ImmutableNode node) {
    String key = node.getNodeName();
    String shown = SettingKeyRedactor.redactUnlessSimilar(key, keyNames());
    return fault(
        ConfigFaultKind.KEY_OUTSIDE_SECTION,
        lines.lineOf("", key),
        "",
        shown,
        shown,
        "a section before the first key, such as " + SectionKind.in(kind).head().form());
  }

  private Either<ConfigFault, IniSection> classify(ImmutableNode node) {
    String header = LineIndex.normalizeHeader(node.getNodeName());
    List<String> words = List.of(header.split(" "));
    Option<SectionKind> found = SectionKind.find(kind, words.head());
    return found
        .filter(section -> hasNames(section, words.tail()))
        .map(section -> section(section, words.tail(), header, node))
        .toEither(() -> unknownSection(found, header, words.head()));
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

  private ConfigFault unknownSection(Option<SectionKind> found, String header, String word) {
    List<SectionKind> kinds = SectionKind.in(kind);
    String allowed =
        found
            .map(section -> section.form() + ", names being " + ValueRules.name().allowed())
            .getOrElse(
                () ->
                    NameSuggester.hint(word, kinds.map(SectionKind::word))
                        + kinds.map(SectionKind::form).mkString(", "));
    return fault(ConfigFaultKind.UNKNOWN_SECTION, lines.lineOf(header), header, "", header, allowed);
  }

  private ConfigFault repetition(LineIndex.Location place) {
    boolean wholeSection = place.key().isEmpty();
    int first =
        wholeSection ? lines.lineOf(place.section()) : lines.lineOf(place.section(), place.key());
    String shown = wholeSection ? "" : shownRepeatedKey(place);
    return fault(
        wholeSection ? ConfigFaultKind.REPEATED_SECTION : ConfigFaultKind.REPEATED_KEY,
        place.line(),
        place.section(),
        shown,
        wholeSection ? place.section() : shown,
        "once; the first is on line " + first);
  }

  private String shownRepeatedKey(LineIndex.Location place) {
    return SectionKind.find(kind, place.section().split(" ")[0])
        .filter(section -> section != SectionKind.KEY)
        .map(section -> place.key())
        .getOrElse(() -> SettingKeyRedactor.redactUnlessSimilar(place.key(), keyNames()));
  }

  private List<String> keyNames() {
    return SettingKey.in(kind).map(SettingKey::name).distinct();
  }

  private ConfigFault fault(
      ConfigFaultKind fault, int line, String section, String key, String found, String allowed) {
    return new ConfigFault(fault, fileName, line, section, key, found, allowed);
  }
}
