/** Parsing and validation of the published fleet document and of instance settings. */
package org.knapweedcleat.core.config;
