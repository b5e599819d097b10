package org.knapweedcleat.core.config;

/** The two kinds of settings. */
public enum SettingsFileType {
  /** The document that is published for the whole deployment. */
  DOCUMENT,
  /** What one instance is told about itself. */
  INSTANCE,
  /** What one instance is told that forwards calls for an adapter of a platform. */
  FORWARDER
}
