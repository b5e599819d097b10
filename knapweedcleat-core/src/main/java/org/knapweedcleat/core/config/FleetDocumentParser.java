package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.util.Objects;

/** Parses and validates the published document. */
public final class FleetDocumentParser {

  private FleetDocumentParser() {}

  /**
   * Parses a document and reports all of its faults.
   *
   * @param fileName the file name to show in faults
   * @param text the document in INI format
   * @return the document, or all faults ordered by line, whatever the text is
   * @throws NullPointerException if an argument is null
   */
  public static Validation<Seq<ConfigFault>, FleetDocument> parse(String fileName, String text) {
    Objects.requireNonNull(fileName, "fileName");
    Objects.requireNonNull(text, "text");
    IniContent content = IniReader.read(SettingsFileType.DOCUMENT, fileName, text);
    SectionValidator validator = SectionValidator.of(fileName, DocumentSettingKeys.all(), content);
    List<Either<List<ConfigFault>, ValidatedSection>> results =
        content.sections().map(validator::validate);
    List<ValidatedSection> valid = results.flatMap(Either::toOption);
    List<ConfigFault> faults =
        content
            .faults()
            .appendAll(results.flatMap(result -> result.swap().getOrElse(List.empty())))
            .appendAll(CrossSectionValidator.of(fileName, content, valid).validate());
    return faults.isEmpty()
        ? Validation.valid(FleetDocumentAssembler.assemble(valid))
        : Validation.invalid(faults.sortBy(ConfigFault::line));
  }
}
