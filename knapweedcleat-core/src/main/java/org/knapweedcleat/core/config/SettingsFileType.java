package org.knapweedcleat.core.config;

/** The types of settings files. */
public enum SettingsFileType {
  /** The document published for the whole deployment. */
  DOCUMENT,
  /** The settings of a single instance. */
  INSTANCE,
  /** The settings of a single instance that forwards calls for a platform adapter. */
  FORWARDER
}
