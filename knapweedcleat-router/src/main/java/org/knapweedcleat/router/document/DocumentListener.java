package org.knapweedcleat.router.document;

import org.knapweedcleat.core.config.RevisionOutcome;

/** Is notified of each document that comes into force. */
@FunctionalInterface
public interface DocumentListener {

  /**
   * Handles a document that has come into force.
   *
   * @param applied the snapshot now in force and the previous one
   */
  void onApplied(RevisionOutcome.Applied applied);
}
