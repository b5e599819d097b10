package org.knapweedcleat.router.document;

import org.knapweedcleat.core.config.RevisionOutcome;

/** Hears of each document that comes into force. */
@FunctionalInterface
public interface DocumentListener {

  /**
   * Takes over a document.
   *
   * @param applied what is in force now and what was before
   */
  void onApplied(RevisionOutcome.Applied applied);
}
