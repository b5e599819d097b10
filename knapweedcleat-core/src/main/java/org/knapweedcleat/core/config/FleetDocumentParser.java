package org.knapweedcleat.core.config;

import io.vavr.collection.List;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.util.Objects;

/** Reads and checks the published document. */
public final class FleetDocumentParser {

  private FleetDocumentParser() {}

  /**
   * Reads a document and reports everything that is wrong with it.
   *
   * @param fileName the name to show in faults
   * @param text the document in INI
   * @return the document, or all faults in the order of their lines; never throws for any text
   * @throws NullPointerException if an argument is null
   */
  public static Validation<Seq<ConfigFault>, FleetDocument> parse(String fileName, String text) {
    Objects.requireNonNull(fileName, "fileName");
    Objects.requireNonNull(text, "text");
    IniContent content = IniReader.read(SettingsFileType.DOCUMENT, fileName, text);
    SectionValidator checker = SectionValidator.of(fileName, DocumentSettingKeys.all(), content);
    List<Either<List<ConfigFault>, ValidatedSection>> checked =
        content.sections().map(checker::validate);
    List<ValidatedSection> clean = checked.flatMap(Either::toOption);
    List<ConfigFault> faults =
        content
            .faults()
            .appendAll(checked.flatMap(result -> result.swap().getOrElse(List.empty())))
            .appendAll(CrossSectionValidator.of(fileName, content, clean).validate());
    return faults.isEmpty()
        ? Validation.valid(FleetDocumentAssembler.assemble(clean))
        : Validation.invalid(faults.sortBy(ConfigFault::line));
  }
}
